#include "discovery/searcher_registry.h"

#include <utility>
#include <vector>

#include "telemetry/log.h"

namespace jujubecove {
namespace {

// Searchers that are gone are evicted above this number, which limits the
// memory over months of replacements.
constexpr std::size_t kMaxKnownSearchers = 400000;

bool IsOlder(const SearcherEntry& a, const SearcherEntry& b) {
  if (a.started_ms != b.started_ms)
    return a.started_ms < b.started_ms;
  return a.heartbeat < b.heartbeat;
}

}  // namespace

SearcherRegistry::SearcherRegistry(TimerService& timers, Listener listener)
    : timers_(timers), listener_(std::move(listener)) {}

void SearcherRegistry::Put(const SearcherEntry& entry) {
  if (listing_)
    listed_ids_.insert(entry.id);
  deferred_removals_.erase(entry.id);
  EvictGone();
  auto [it, inserted] = known_.try_emplace(entry.id);
  KnownSearcher& known = it->second;
  if (inserted) {
    MarkPresent(known, entry);
    return;
  }
  if (IsOlder(entry, known.entry)) {
    JJ_LOG(kMembership, DEBUG)
        << "ignoring registration of " << entry.id << ", which is outdated";
    return;
  }
  if (DefersReturn(known, entry))
    return;
  bool same_incarnation = entry.started_ms == known.entry.started_ms;
  if (!same_incarnation || !known.present ||
      entry.address != known.entry.address ||
      entry.service != known.entry.service) {
    bool drained = same_incarnation && known.drained;
    if (known.present)
      MarkGone(known);
    known.drained = drained;
    MarkPresent(known, entry);
    return;
  }
  known.entry = entry;
  if (known.drained)
    return;
  if (entry.state == SearcherState::kDraining) {
    known.drained = true;
    --ready_count_;
    Notify(SearcherChange::kDraining, known.entry);
    return;
  }
  Notify(SearcherChange::kUpdated, known.entry);
}

void SearcherRegistry::MarkLeaving(const SearcherEntry& entry) {
  auto it = known_.find(entry.id);
  if (it == known_.end() || it->second.drained ||
      it->second.entry.started_ms != entry.started_ms)
    return;
  it->second.drained = true;
  if (!it->second.present)
    return;
  --ready_count_;
  Notify(SearcherChange::kDraining, it->second.entry);
}

void SearcherRegistry::MarkPresent(KnownSearcher& known,
                                   const SearcherEntry& entry) {
  known.entry = entry;
  known.present = true;
  if (entry.state == SearcherState::kDraining)
    known.drained = true;
  if (known.drained)
    return;
  ++ready_count_;
  Notify(SearcherChange::kAdded, known.entry);
}

void SearcherRegistry::Remove(const InstanceId& id) {
  deferred_returns_.erase(id);
  auto it = known_.find(id);
  if (it == known_.end() || !it->second.present)
    return;
  if (timers_.Now() < defer_removals_until_ && !it->second.drained) {
    deferred_removals_.insert(id);
    return;
  }
  MarkGone(it->second);
}

void SearcherRegistry::MarkGone(KnownSearcher& known) {
  known.present = false;
  if (!known.drained)
    --ready_count_;
  Notify(SearcherChange::kGone, known.entry);
}

void SearcherRegistry::BeginListing() {
  listing_ = true;
  listed_ids_.clear();
}

void SearcherRegistry::EndListing() {
  listing_ = false;
  std::vector<InstanceId> missing;
  for (const auto& [id, known] : known_) {
    if (known.present && !listed_ids_.contains(id))
      missing.push_back(id);
  }
  for (const InstanceId& id : missing)
    Remove(id);
  listed_ids_.clear();
}

void SearcherRegistry::DeferRemovalsUntil(TimePoint until) {
  if (until <= defer_removals_until_)
    return;
  defer_removals_until_ = until;
  timers_.ScheduleAt(until, [this] { ApplyDeferredRemovals(); });
}

void SearcherRegistry::ApplyDeferredRemovals() {
  if (timers_.Now() < defer_removals_until_)
    return;
  std::unordered_set<InstanceId> ids = std::move(deferred_removals_);
  deferred_removals_.clear();
  for (const InstanceId& id : ids)
    Remove(id);
}

void SearcherRegistry::DeferReturnsUntil(TimePoint until) {
  defer_returns_until_ = until;
  timers_.ScheduleAt(until, [this] { ApplyDeferredReturns(); });
}

bool SearcherRegistry::DefersReturn(const KnownSearcher& known,
                                    const SearcherEntry& entry) {
  deferred_returns_.erase(entry.id);
  if (known.present || timers_.Now() >= defer_returns_until_ ||
      IsOlder(known.entry, entry))
    return false;
  deferred_returns_[entry.id] = entry;
  return true;
}

void SearcherRegistry::ApplyDeferredReturns() {
  if (timers_.Now() < defer_returns_until_)
    return;
  std::unordered_map<InstanceId, SearcherEntry> entries =
      std::move(deferred_returns_);
  deferred_returns_.clear();
  for (const auto& [id, entry] : entries)
    Put(entry);
}

void SearcherRegistry::Notify(SearcherChange change,
                              const SearcherEntry& entry) {
  listener_(change, entry);
}

void SearcherRegistry::EvictGone() {
  if (known_.size() <= kMaxKnownSearchers)
    return;
  std::erase_if(known_, [](const auto& it) { return !it.second.present; });
}

}  // namespace jujubecove
