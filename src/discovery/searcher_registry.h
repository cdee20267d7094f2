#pragma once

#include <functional>
#include <string>
#include <unordered_map>
#include <unordered_set>

#include "discovery/searcher_entry.h"
#include "kernel/timer_service.h"

namespace jujubecove {

// What changed about one searcher.
enum class SearcherChange : std::uint8_t {
  kAdded,
  // The same incarnation reported something new.
  kUpdated,
  kDraining,
  kGone,
};

// Decides from the registrations in the store which searchers may be given new
// requests. Registrations can arrive late or out of order, can be written by
// others, and can expire while the store is unavailable although the searcher
// lives.
class SearcherRegistry {
 public:
  using Listener = std::function<void(SearcherChange, const SearcherEntry&)>;

  SearcherRegistry(TimerService& timers, Listener listener);

  // A registration as it was read. One that is older than what is known of the
  // searcher is ignored.
  void Put(const SearcherEntry& entry);
  // The registration under this id is missing or names no usable searcher.
  void Remove(const InstanceId& id);
  // Starts a complete listing. Searchers that it does not contain are removed
  // at its end.
  void BeginListing();
  void EndListing();
  // Until this time a missing registration may only have expired while the
  // store was unavailable, so its searcher stays in use.
  void HoldRemovalsUntil(TimePoint until);

  std::size_t ready_count() const { return ready_count_; }

 private:
  struct Known {
    SearcherEntry entry;
    bool present = false;
    // An incarnation that was draining never becomes ready again.
    bool drained = false;
  };

  void Replace(Known& known, const SearcherEntry& entry);
  void Notify(SearcherChange change, const SearcherEntry& entry);
  void Drop(Known& known);
  void DropHeld();
  void ForgetGone();

  TimerService& timers_;
  Listener listener_;
  // Includes searchers that are gone, so that a late registration of an earlier
  // incarnation is recognised.
  std::unordered_map<InstanceId, Known> known_;
  std::unordered_set<InstanceId> listed_;
  bool listing_ = false;
  std::unordered_set<InstanceId> held_;
  TimePoint hold_until_{};
  std::size_t ready_count_ = 0;
};

}  // namespace jujubecove
