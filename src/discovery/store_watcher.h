#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>

#include "base/random.h"
#include "kernel/timer_service.h"
#include "store/kv_store.h"

namespace jujubecove {

// Receives items of the store in an order in which they can be applied.
class StoreWatchListener {
 public:
  virtual ~StoreWatchListener() = default;

  // The items until OnListingEnd replace all earlier ones.
  virtual void OnListingBegin() = 0;
  virtual void OnListingEnd() = 0;
  virtual void OnItem(const KvItem& item) = 0;
  // The store stopped serving calls, or serves them again after `outage`, which
  // is the longest time for which it may not have served.
  virtual void OnStoreDisconnected(const std::string& reason) = 0;
  virtual void OnStoreReconnected(Duration outage) = 0;
  // The store has come back from an older copy; a listing follows. What it had
  // acknowledged since that copy may be missing or older in the listing.
  virtual void OnStoreRestored(StoreEra /*era*/) {}
};

// Counts of a watcher's calls by their result.
struct StoreCallStats {
  std::uint64_t served = 0;
  std::uint64_t refused = 0;
  std::uint64_t unanswered = 0;
  std::uint64_t compacted = 0;
};

// Lists all keys with a prefix once and then watches for changes since the
// revision of the listing. It lists again only if the store has compacted the
// history since its last revision, or has come back from an older copy. After a
// failure, a watch that does not wait shows at once whether the store serves
// calls: a watch can be cut without an outage.
class StoreWatcher {
 public:
  StoreWatcher(TimerService& timers,
               KvStore& store,
               StoreWatchListener& listener,
               std::string prefix,
               Duration watch_wait,
               std::uint64_t seed);

  void Start();
  // An answer to another call of the store was of this era.
  void OnEra(StoreEra era);
  // Number of daemons that watch the store.
  void set_fleet_size(int size) { fleet_size_ = size; }
  const StoreCallStats& calls() const { return calls_; }
  bool is_connected() const { return connected_; }
  // Whether a listing was completed.
  bool is_listed() const { return listed_; }

 private:
  void List();
  // Lists anew and ignores the calls that are in progress.
  void Restart();
  void ReadPage(const std::string& after);
  void OnPage(const std::string& after, KvPage page);
  // `delay` is the time until the first watch.
  void EndListing(Duration delay);
  void Watch();
  void WatchFor(Duration wait);
  void WatchAfter(Duration delay);
  Duration BatchDelay() const;
  void OnEvents(KvPage page);
  void OnFirstPage(const KvPage& page);
  void Apply(const KvItem& item);
  void StartCall(Duration wait);
  void OnFailure(const KvPage& page, void (StoreWatcher::*retry)());
  void OnSuccess(const KvPage& page);

  TimerService& timers_;
  KvStore& store_;
  StoreWatchListener& listener_;
  std::string prefix_;
  Duration watch_wait_;
  RandomEngine random_;
  bool connected_ = false;
  bool listed_ = false;
  bool was_disconnected_ = false;
  int fleet_size_ = 1;
  int consecutive_failures_ = 0;
  TimePoint last_success_{};
  // When the store may have stopped serving, while it is disconnected.
  TimePoint outage_started_{};
  // When the current call started, and from when on a store that serves would
  // have answered it.
  TimePoint call_started_{};
  TimePoint answer_due_{};
  StoreCallStats calls_;
  // Of the latest listing; all revisions below are of this era.
  StoreEra era_;
  // The latest that an answer has shown.
  StoreEra latest_era_;
  // Number of restarts. Calls that were started before the latest one are
  // ignored.
  std::uint64_t generation_ = 0;
  // The watch reports changes after this revision.
  StoreRevision watch_revision_{};
  // Revision of the first page of the current listing.
  StoreRevision listing_revision_{};
  // Latest applied revision of each key, since later pages of a listing may be
  // newer than the events that follow.
  std::unordered_map<std::string, StoreRevision> applied_revisions_;
};

}  // namespace jujubecove
