// How a ConfigAgent gets the text of a version.

#include <algorithm>
#include <utility>

#include "config/config_agent.h"
#include "config/config_records.h"

namespace jujubecove {
namespace {

constexpr std::size_t kMaxRejectionBytes = 500;

}  // namespace

std::vector<std::string> ConfigAgent::HoldersOf(const Known& goal) {
  std::vector<std::string> holders;
  std::int64_t version = static_cast<std::int64_t>(goal.version.value());
  for (const wire::Member& member : membership_.live()) {
    auto it = states_.find(member.incarnation);
    if (it == states_.end())
      continue;
    const wire::ConfigState& state = it->second;
    if (state.active_version == version ||
        (state.proposed_version == version && state.staged))
      holders.push_back(member.address);
  }
  return holders;
}

// Tries the delta that came with the proposal, then a delta and the whole text
// of peers that hold the version, and finally the store.
void ConfigAgent::Fetch() {
  const Known* goal = Goal();
  if (goal == nullptr || fetching_ || retry_pending_)
    return;
  ConfigVersion base = cache_.NewestUpTo(goal->version);
  DocumentCache::Held held = cache_.Find(goal->base);
  if (attempts_ == 0 && !goal->delta.empty() && held != nullptr) {
    Known wanted = *goal;
    Result<std::string> text = ApplyDelta(held->text, wanted.delta);
    if (text.has_value() &&
        Keep(wanted, std::move(text).value(), wanted.sha256)) {
      FetchEnded(true);
      return;
    }
  }
  std::vector<std::string> holders = HoldersOf(*goal);
  fetching_ = true;
  std::uint32_t attempt = attempts_++;
  constexpr std::uint32_t kStoreEvery = 3;
  if (holders.empty() || attempt % kStoreEvery == kStoreEvery - 1) {
    FetchFromStore();
    return;
  }
  const std::string& peer = holders[random_() % holders.size()];
  if (base != ConfigVersion() && attempt % kStoreEvery == 0)
    FetchDelta(peer, base);
  else
    FetchDocument(peer);
}

void ConfigAgent::FetchDelta(const std::string& peer, ConfigVersion base) {
  std::weak_ptr<bool> alive = alive_;
  Known goal = *Goal();
  transport_.FetchDelta(
      peer, base, goal.version,
      [this, alive, goal, base](PeerResult<wire::DocumentReply> result) {
        if (alive.expired())
          return;
        DocumentCache::Held held = cache_.Find(base);
        if (result.status == PeerStatus::kDone && result.value.found &&
            held != nullptr) {
          Result<std::string> text =
              ApplyDelta(held->text, result.value.content);
          result.value.found = text.has_value();
          if (text.has_value())
            result.value.content = std::move(text).value();
        }
        OnDocument(goal, result);
      });
}

void ConfigAgent::FetchDocument(const std::string& peer) {
  std::weak_ptr<bool> alive = alive_;
  Known goal = *Goal();
  transport_.FetchDocument(
      peer, goal.version,
      [this, alive, goal](const PeerResult<wire::DocumentReply>& result) {
        if (!alive.expired())
          OnDocument(goal, result);
      });
}

void ConfigAgent::OnDocument(const Known& goal,
                             const PeerResult<wire::DocumentReply>& result) {
  bool kept = result.status == PeerStatus::kDone && result.value.found &&
              Keep(goal, result.value.content, result.value.sha256);
  FetchEnded(kept);
}

void ConfigAgent::FetchFromStore() {
  std::weak_ptr<bool> alive = alive_;
  Known goal = *Goal();
  store_.Read(
      DocumentKey(goal.version), [this, alive, goal](const StoreReply& reply) {
        if (alive.expired())
          return;
        bool kept = reply.status == StoreStatus::kDone &&
                    Keep(goal, reply.value, HashOfText(reply.value).sha256);
        FetchEnded(kept);
      });
}

bool ConfigAgent::Keep(const Known& goal,
                       std::string text,
                       const std::string& sha256) {
  if (HashOfText(text).fast != goal.hash)
    return false;
  Result<DocumentCache::Held> held =
      cache_.Add(goal.version, std::move(text), sha256);
  if (held.has_value())
    return true;
  // The text is the one that was proposed, so that another source won't help.
  unusable_ = goal.version;
  if (goal.version == proposal_.version)
    rejection_ = held.error().detail.substr(0, kMaxRejectionBytes);
  OnNews();
  return false;
}

void ConfigAgent::FetchEnded(bool kept) {
  fetching_ = false;
  if (kept) {
    attempts_ = 0;
    ConfigVersion before = active_;
    Proceed();
    if (active_ == before)
      OnNews();
    return;
  }
  if (Goal() == nullptr)
    return;
  retry_pending_ = true;
  Duration delay =
      std::min(options_.first_retry * static_cast<std::int64_t>(attempts_),
               options_.longest_retry);
  retry_timer_ = timers_.ScheduleAfter(delay, [this] {
    retry_pending_ = false;
    Fetch();
  });
}

}  // namespace jujubecove
