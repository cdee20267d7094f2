#pragma once

#include <functional>
#include <string>
#include <unordered_map>
#include <unordered_set>

#include "discovery/searcher_entry.h"
#include "kernel/timer_service.h"

namespace jujubecove {

enum class SearcherChange : std::uint8_t {
  kAdded,
  // A new heartbeat of the same incarnation.
  kUpdated,
  kDraining,
  kGone,
};

// Derives from the registrations in the store which searchers accept new
// requests. Registrations can arrive late or out of order, can be written by
// others, and can expire during an outage of the store although the searcher is
// alive.
class SearcherRegistry {
 public:
  using Listener = std::function<void(SearcherChange, const SearcherEntry&)>;

  SearcherRegistry(TimerService& timers, Listener listener);

  // Applies a registration, unless a newer one of the searcher is known.
  void Put(const SearcherEntry& entry);
  // The registration with this id was removed or is not usable.
  void Remove(const InstanceId& id);
  // The searcher itself said that it is leaving. As after a draining
  // registration, this incarnation is never used again.
  void MarkLeaving(const SearcherEntry& entry);
  // EndListing removes the searchers that were not put since BeginListing.
  void BeginListing();
  void EndListing();
  // Until this time, searchers stay in use without a registration, since it may
  // have expired during an outage of the store.
  void DeferRemovalsUntil(TimePoint until);
  // Until this time, a searcher that is gone stays so unless its registration
  // is newer than the last one: an older copy of the store may hold
  // registrations that were removed since.
  void DeferReturnsUntil(TimePoint until);

  std::size_t ready_count() const { return ready_count_; }

 private:
  struct KnownSearcher {
    SearcherEntry entry;
    bool present = false;
    // The incarnation was draining or leaving once and never becomes ready
    // again.
    bool drained = false;
  };

  void MarkPresent(KnownSearcher& known, const SearcherEntry& entry);
  void Notify(SearcherChange change, const SearcherEntry& entry);
  void MarkGone(KnownSearcher& known);
  // Whether the registration of a searcher that is gone has to wait.
  bool DefersReturn(const KnownSearcher& known, const SearcherEntry& entry);
  void ApplyDeferredRemovals();
  void ApplyDeferredReturns();
  void EvictGone();

  TimerService& timers_;
  Listener listener_;
  // Includes searchers that are gone, to detect late registrations of earlier
  // incarnations.
  std::unordered_map<InstanceId, KnownSearcher> known_;
  std::unordered_set<InstanceId> listed_ids_;
  bool listing_ = false;
  std::unordered_set<InstanceId> deferred_removals_;
  TimePoint defer_removals_until_{};
  std::unordered_map<InstanceId, SearcherEntry> deferred_returns_;
  TimePoint defer_returns_until_{};
  std::size_t ready_count_ = 0;
};

}  // namespace jujubecove
