#include "config/config_agent.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "config/config_records.h"

namespace jujubecove {
namespace {

std::int64_t Wire(ConfigVersion version) {
  return static_cast<std::int64_t>(version.value());
}

ConfigVersion FromWire(std::int64_t version) {
  return ConfigVersion(
      static_cast<std::uint64_t>(std::max<std::int64_t>(version, 0)));
}

}  // namespace

ConfigAgent::ConfigAgent(TimerService& timers,
                         Store& store,
                         PeerTransport& transport,
                         Membership& membership,
                         std::uint64_t seed,
                         ConfigAgentOptions options)
    : timers_(timers),
      store_(store),
      transport_(transport),
      membership_(membership),
      random_(seed),
      options_(options),
      relay_(
          timers,
          store,
          membership,
          [this](std::int64_t incarnation) { return StateOf(incarnation); },
          options.relay),
      active_reader_(
          timers,
          store,
          membership,
          kActiveKey,
          options.reader,
          [this](const std::string& value) { OnActiveValue(value); }),
      proposal_reader_(
          timers,
          store,
          membership,
          kProposalKey,
          options.reader,
          [this](const std::string& value) { OnProposalValue(value); }) {}

ConfigAgent::~ConfigAgent() {
  timers_.Cancel(retry_timer_);
  timers_.Cancel(spread_timer_);
  timers_.Cancel(acknowledge_timer_);
}

void ConfigAgent::Start() {
  active_reader_.Start();
  proposal_reader_.Start();
}

bool ConfigAgent::ready() {
  // A joining daemon waits for its peers or the store, so that it does not
  // start with an older version than they have. Later versions don't take its
  // readiness away.
  ready_ =
      ready_ || (active_ != ConfigVersion() && active_ >= target_.version &&
                 (active_reader_.confirmed() || membership_.joined()));
  return ready_;
}

std::string ConfigAgent::NotReadyReason() {
  if (ready())
    return "";
  if (active_ != ConfigVersion() && active_ < target_.version)
    return "fetching version " + std::to_string(target_.version.value()) +
           " of the document";
  if (active_ != ConfigVersion())
    return "waiting for peers to answer";
  if (target_.version != ConfigVersion())
    return "fetching version " + std::to_string(target_.version.value()) +
           " of the document";
  if (active_reader_.confirmed())
    return "no version of the document has been activated";
  return "no peer holds a document and the store has not answered";
}

wire::ConfigState ConfigAgent::State() const {
  wire::ConfigState state;
  state.active_version = Wire(active_);
  state.active_hash = static_cast<std::int64_t>(active_hash_);
  state.proposed_version = Wire(proposal_.version);
  state.proposed_hash = static_cast<std::int64_t>(proposal_.hash);
  DocumentCache::Held held = cache_.Find(proposal_.version);
  state.staged = held != nullptr && held->hash.fast == proposal_.hash;
  state.rejection = rejection_;
  return state;
}

const wire::ConfigState* ConfigAgent::StateOf(std::int64_t incarnation) {
  if (incarnation == membership_.self().incarnation) {
    own_state_ = State();
    return &own_state_;
  }
  auto it = states_.find(incarnation);
  return it == states_.end() ? nullptr : &it->second;
}

void ConfigAgent::Fill(wire::ExchangeMessage& message) {
  message.config = State();
}

void ConfigAgent::OnMessage(const wire::ExchangeMessage& message) {
  const wire::ConfigState& state = message.config;
  wire::ConfigState& known = states_[message.sender.incarnation];
  // A delayed message may be older than what is known already.
  auto age = [](const wire::ConfigState& it) {
    return std::make_tuple(it.active_version, it.proposed_version, it.staged);
  };
  if (age(state) < age(known))
    return;
  bool changed = !(known == state);
  known = state;
  LearnActive(FromWire(state.active_version),
              static_cast<std::uint64_t>(state.active_hash));
  if (state.proposed_version > 0) {
    Known proposal;
    proposal.version = FromWire(state.proposed_version);
    proposal.hash = static_cast<std::uint64_t>(state.proposed_hash);
    LearnProposal(std::move(proposal));
  }
  if (changed)
    relay_.Update();
}

void ConfigAgent::OnMembersChanged() {
  std::map<std::int64_t, wire::ConfigState> kept;
  for (const wire::Member& member : membership_.live()) {
    auto it = states_.find(member.incarnation);
    if (it != states_.end())
      kept.insert(*it);
  }
  states_ = std::move(kept);
  std::erase_if(acknowledged_, [this](const auto& entry) {
    return states_.count(entry.first) == 0;
  });
  relay_.Update();
  Acknowledge();
}

void ConfigAgent::OnActiveValue(const std::string& value) {
  std::optional<ActiveRecord> record = ParseActiveRecord(value);
  if (record)
    LearnActive(record->active.version, record->active.hash);
}

void ConfigAgent::OnProposalValue(const std::string& value) {
  std::optional<ProposalRecord> record = ParseProposalRecord(value);
  if (!record)
    return;
  Known proposal{record->proposed.version, record->proposed.hash, record->base,
                 std::move(record->delta), record->proposed.sha256};
  LearnProposal(std::move(proposal));
}

void ConfigAgent::LearnActive(ConfigVersion version, std::uint64_t hash) {
  if (version <= target_.version)
    return;
  target_ = Known{version, hash, {}, {}, {}};
  // The delta of the proposal is still the cheapest way to this version.
  if (proposal_.version == version && proposal_.hash == hash)
    target_ = proposal_;
  relay_.SetSubject(version, hash, true);
  attempts_ = 0;
  Proceed();
}

void ConfigAgent::LearnProposal(Known proposal) {
  // A peer names the version only; the store's record brings the delta.
  bool detail = proposal.version == proposal_.version &&
                proposal_.delta.empty() && !proposal.delta.empty();
  if (!detail && proposal.version <= proposal_.version)
    return;
  if (proposal.version > proposal_.version)
    rejection_.clear();
  proposal_ = std::move(proposal);
  relay_.SetSubject(proposal_.version, proposal_.hash, false);
  attempts_ = 0;
  Proceed();
}

void ConfigAgent::Proceed() {
  if (target_.version > active_) {
    DocumentCache::Held held = cache_.Find(target_.version);
    if (held != nullptr && held->hash.fast == target_.hash)
      Activate();
    else if (held != nullptr)
      cache_.Drop(target_.version);
  }
  Fetch();
}

void ConfigAgent::Activate() {
  DocumentCache::Held held = cache_.Find(target_.version);
  active_ = target_.version;
  active_hash_ = target_.hash;
  cache_.Trim(active_);
  if (activation_handler_)
    activation_handler_(std::shared_ptr<const Document>(held, &held->document));
  OnNews();
}

// This daemon holds a proposal or activated a version since its last message.
void ConfigAgent::OnNews() {
  spread_steps_left_ = options_.spread_steps;
  relay_.Update();
  Acknowledge();
  timers_.Cancel(spread_timer_);
  SpreadStep();
}

const ConfigAgent::Known* ConfigAgent::Goal() const {
  if (target_.version > active_ && target_.version != unusable_)
    return &target_;
  if (proposal_.version > active_ && rejection_.empty() &&
      cache_.Find(proposal_.version) == nullptr)
    return &proposal_;
  return nullptr;
}

bool ConfigAgent::HasNews(std::int64_t incarnation) {
  auto it = states_.find(incarnation);
  if (it == states_.end())
    return false;
  const wire::ConfigState& state = it->second;
  if (state.active_version < Wire(active_))
    return false;
  return proposal_.version <= active_ ||
         cache_.Find(proposal_.version) == nullptr ||
         state.proposed_version > Wire(proposal_.version) ||
         (state.proposed_version == Wire(proposal_.version) && state.staged);
}

void ConfigAgent::SpreadStep() {
  if (spread_steps_left_ == 0)
    return;
  bool first = spread_steps_left_ == options_.spread_steps;
  --spread_steps_left_;
  for (bool same_zone : {true, false}) {
    std::size_t sends = 1;
    // The acknowledgements have just told the relays, which tell two others.
    if (same_zone && first)
      sends = relay_.IsRelay() ? 2 : 0;
    for (const wire::Member& peer :
         membership_.RandomPeers(membership_.live().size(), same_zone)) {
      if (sends == 0)
        break;
      if (HasNews(peer.incarnation))
        continue;
      --sends;
      membership_.ExchangeWith(peer.address, nullptr);
    }
  }
  spread_timer_ =
      timers_.ScheduleAfter(options_.spread_interval, [this] { SpreadStep(); });
}

// Tells the relays of this zone what this daemon holds, until they answer.
void ConfigAgent::Acknowledge() {
  wire::ConfigState state = State();
  bool failed_before = acknowledge_retry_;
  acknowledge_retry_ = false;
  if (failed_before)
    timers_.Cancel(acknowledge_timer_);
  for (const wire::Member& relay : relay_.Relays()) {
    std::int64_t incarnation = relay.incarnation;
    auto it = acknowledged_.find(incarnation);
    if (incarnation == membership_.self().incarnation ||
        (it != acknowledged_.end() && it->second == state))
      continue;
    // Assumed to arrive; taken back if no answer comes.
    acknowledged_[incarnation] = state;
    std::weak_ptr<bool> alive = alive_;
    membership_.ExchangeWith(relay.address,
                             [this, alive, incarnation](bool answered) {
                               if (answered || alive.expired())
                                 return;
                               acknowledged_.erase(incarnation);
                               AcknowledgeLater();
                             });
  }
}

void ConfigAgent::AcknowledgeLater() {
  if (acknowledge_retry_)
    return;
  acknowledge_retry_ = true;
  acknowledge_timer_ = timers_.ScheduleAfter(options_.relay.retry, [this] {
    acknowledge_retry_ = false;
    Acknowledge();
  });
}

wire::DocumentReply ConfigAgent::OnFetchDelta(ConfigVersion from,
                                              ConfigVersion to) {
  return cache_.MakeDeltaReply(from, to);
}

wire::DocumentReply ConfigAgent::OnFetchDocument(ConfigVersion version) {
  return cache_.MakeDocumentReply(version);
}

}  // namespace jujubecove
