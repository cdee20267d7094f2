#include "membership/membership.h"

#include <algorithm>
#include <limits>
#include <random>
#include <utility>

namespace jujubecove {

using wire::MemberState;

namespace {

// One round in this many tries an address that is not known to be live, which
// is how zones find each other again after a partition.
constexpr std::uint32_t kLostContactRounds = 4;
// One with a daemon of this zone and one with a daemon of another.
constexpr std::uint32_t kExchangesPerRound = 2;

}  // namespace

Membership::Membership(TimerService& timers,
                       PeerTransport& transport,
                       wire::Member self,
                       std::uint64_t seed,
                       MembershipOptions options)
    : timers_(timers),
      transport_(transport),
      random_(seed),
      options_(options),
      table_(std::move(self)) {}

Membership::~Membership() {
  timers_.Cancel(round_timer_);
}

void Membership::Start() {
  started_ = timers_.Now();
  JoinRound();
  ScheduleRound();
}

void Membership::SetListed(std::vector<ListedMember> listed) {
  list_received_ = true;
  std::map<std::string, Contact> contacts;
  for (ListedMember& member : listed) {
    if (member.address == table_.self().address)
      continue;
    Contact& contact = contacts[member.address];
    auto it = contacts_.find(member.address);
    // Another VM at a known address has not been tried yet.
    if (it != contacts_.end() && it->second.listed.id == member.id)
      contact = it->second;
    contact.listed = std::move(member);
  }
  contacts_ = std::move(contacts);
  if (!joined_ && started_ != TimePoint())
    JoinRound();
  notified_revision_ = 0;
  NotifyIfChanged();
}

void Membership::AnnounceLeaving() {
  table_.AnnounceLeaving(timers_.Now());
  NotifyIfChanged();
  for (const wire::Member& peer : RandomPeers(2, true))
    ExchangeWith(peer.address, nullptr);
  for (const wire::Member& peer : RandomPeers(1, false))
    ExchangeWith(peer.address, nullptr);
}

wire::ExchangeMessage Membership::MakeMessage() {
  wire::ExchangeMessage message;
  message.sender = table_.self();
  message.changes = table_.TakeChanges(options_.max_changes);
  message.digest = table_.digest();
  if (extension_ != nullptr)
    extension_->Fill(message);
  return message;
}

void Membership::Learn(const wire::ExchangeMessage& message) {
  if (!IsWellFormed(message.sender))
    return;
  TimePoint now = timers_.Now();
  // Another incarnation that lived at this address can't live any more.
  for (MemberTable::Record* old = table_.FindAddress(message.sender.address);
       old != nullptr &&
       old->member.incarnation != message.sender.incarnation &&
       old->member.incarnation != table_.self().incarnation;
       old = table_.FindAddress(message.sender.address))
    table_.SetState(old->member.incarnation, MemberState::GONE, now);
  table_.Merge(message.sender, now);
  for (const wire::Member& claim : message.changes)
    table_.Merge(claim, now);
  MemberTable::Record* record = table_.Find(message.sender.incarnation);
  if (record != nullptr) {
    record->failures = 0;
    record->last_contact = now;
  }
}

wire::ExchangeMessage Membership::OnExchange(
    const wire::ExchangeMessage& message) {
  // What is believed of the caller before its call; it has to refute a claim
  // against it that it does not know of.
  MemberTable::Record* known = table_.Find(message.sender.incarnation);
  bool refute = known != nullptr &&
                known->member.sequence >= message.sender.sequence &&
                known->member.state > message.sender.state;
  Learn(message);
  if (extension_ != nullptr)
    extension_->OnMessage(message);
  wire::ExchangeMessage reply = MakeMessage();
  if (refute)
    reply.changes.push_back(table_.Find(message.sender.incarnation)->member);
  if (message.sync) {
    bool more = false;
    reply.changes = table_.Page(message.sync_after, options_.page_size, more);
    reply.sync_more = more;
  }
  NotifyIfChanged();
  return reply;
}

void Membership::ExchangeWith(const std::string& address,
                              ExchangeHandler handler) {
  ++sent_since_round_;
  std::weak_ptr<bool> alive = alive_;
  transport_.Exchange(address, MakeMessage(),
                      [this, alive, address, handler = std::move(handler)](
                          const PeerResult<wire::ExchangeMessage>& result) {
                        if (alive.expired())
                          return;
                        bool answered = result.status == PeerStatus::kDone;
                        if (answered)
                          OnAnswer(address, result.value);
                        else
                          OnFailure(address);
                        if (handler)
                          handler(answered);
                      });
}

void Membership::OnAnswer(const std::string& address,
                          const wire::ExchangeMessage& reply) {
  bool was_lost = table_.FindAddress(address) == nullptr;
  Learn(reply);
  if (extension_ != nullptr)
    extension_->OnMessage(reply);
  answered_.insert(address);
  auto it = contacts_.find(address);
  if (it != contacts_.end()) {
    it->second.answered = true;
    it->second.failures = 0;
  }
  TimePoint now = timers_.Now();
  bool differs = reply.digest != table_.digest();
  bool due = !synced_ || now - last_sync_ >= options_.sync_interval;
  if (differs && (was_lost || (due && !table_.has_changes()) || !synced_)) {
    synced_ = true;
    last_sync_ = now;
    Sync(address, std::numeric_limits<std::int64_t>::min());
  }
  CheckJoined();
  NotifyIfChanged();
}

void Membership::OnFailure(const std::string& address) {
  auto it = contacts_.find(address);
  if (it != contacts_.end())
    ++it->second.failures;
  MemberTable::Record* record = table_.FindAddress(address);
  if (record != nullptr &&
      record->member.incarnation != table_.self().incarnation) {
    ++record->failures;
    if (record->failures == 1) {
      ExchangeWith(address, nullptr);
    } else if (record->failures >= options_.failures_to_suspect) {
      bool leaving = record->member.state == MemberState::LEAVING;
      table_.SetState(record->member.incarnation,
                      leaving ? MemberState::GONE : MemberState::SUSPECT,
                      timers_.Now());
    }
  }
  CheckJoined();
  NotifyIfChanged();
}

void Membership::Sync(const std::string& address, std::int64_t after) {
  wire::ExchangeMessage message = MakeMessage();
  message.sync = true;
  message.sync_after = after;
  std::weak_ptr<bool> alive = alive_;
  transport_.Exchange(
      address, message,
      [this, alive, address](const PeerResult<wire::ExchangeMessage>& result) {
        if (alive.expired() || result.status != PeerStatus::kDone)
          return;
        Learn(result.value);
        if (result.value.sync_more && !result.value.changes.empty())
          Sync(address, result.value.changes.back().incarnation);
        NotifyIfChanged();
      });
}

void Membership::ScheduleRound() {
  Duration delay = joined_ ? options_.round : options_.join_round;
  // A random part keeps daemons that were started together apart.
  std::int64_t jitter = std::uniform_int_distribution<std::int64_t>(
      0, delay.count() / 4)(random_);
  round_timer_ = timers_.ScheduleAfter(delay - Duration(jitter), [this] {
    Round();
    ScheduleRound();
  });
}

void Membership::Round() {
  ExpireSuspects();
  if (!joined_) {
    JoinRound();
    return;
  }
  // Exchanges out of turn, as for a change of the configuration, have done the
  // work of this round.
  bool done = sent_since_round_ >= kExchangesPerRound;
  if (!done) {
    for (bool same_zone : {true, false}) {
      for (const wire::Member& peer : RandomPeers(1, same_zone))
        ExchangeWith(peer.address, nullptr);
    }
  }
  sent_since_round_ = 0;
  if (random_() % kLostContactRounds == 0)
    TryLostContact();
}

void Membership::ExpireSuspects() {
  TimePoint now = timers_.Now();
  std::vector<std::int64_t> gone;
  for (const auto& [incarnation, record] : table_.records()) {
    if (record.member.state == MemberState::SUSPECT &&
        now - record.changed >= options_.suspicion)
      gone.push_back(incarnation);
  }
  for (std::int64_t incarnation : gone)
    table_.SetState(incarnation, MemberState::GONE, now);
  table_.Forget(now - options_.memory);
  // The count for connection shares falls with time alone.
  notified_revision_ = 0;
  NotifyIfChanged();
}

void Membership::TryLostContact() {
  std::vector<std::string> lost;
  for (const auto& [address, contact] : contacts_) {
    if (table_.FindAddress(address) == nullptr)
      lost.push_back(address);
  }
  for (const auto& [incarnation, record] : table_.records()) {
    if (record.member.state == MemberState::GONE &&
        table_.FindAddress(record.member.address) == nullptr)
      lost.push_back(record.member.address);
  }
  if (!lost.empty())
    ExchangeWith(lost[random_() % lost.size()], nullptr);
}

// Calls every address that is known and has not answered yet, a bounded number
// at a time.
void Membership::JoinRound() {
  std::set<std::string> addresses;
  for (const auto& [address, contact] : contacts_) {
    if (!contact.listed.leaving && !contact.answered)
      addresses.insert(address);
  }
  for (const wire::Member& member : live())
    addresses.insert(member.address);
  addresses.erase(table_.self().address);
  std::erase_if(addresses, [this](const std::string& address) {
    return answered_.count(address) != 0;
  });
  std::vector<std::string> order(addresses.begin(), addresses.end());
  std::shuffle(order.begin(), order.end(), random_);
  if (order.size() > options_.join_answers)
    order.resize(options_.join_answers);
  for (const std::string& address : order)
    ExchangeWith(address, nullptr);
  CheckJoined();
}

void Membership::CheckJoined() {
  if (joined_)
    return;
  bool waiting = !list_received_;
  for (const auto& [address, contact] : contacts_) {
    waiting = waiting || (!contact.listed.leaving && !contact.answered &&
                          contact.failures < options_.failures_to_suspect);
  }
  for (const wire::Member& member : live()) {
    waiting = waiting || (member.incarnation != table_.self().incarnation &&
                          member.state != MemberState::SUSPECT &&
                          answered_.count(member.address) == 0);
  }
  joined_ = !waiting || answered_.size() >= options_.join_answers ||
            timers_.Now() - started_ >= options_.settle_time;
  if (joined_) {
    notified_revision_ = 0;
    NotifyIfChanged();
  }
}

void Membership::NotifyIfChanged() {
  if (notified_revision_ == table_.revision())
    return;
  notified_revision_ = table_.revision();
  if (change_handler_)
    change_handler_();
}

}  // namespace jujubecove
