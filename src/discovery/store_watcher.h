#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>

#include "base/random.h"
#include "kernel/timer_service.h"
#include "store/kv_store.h"

namespace jujubecove {

// Receives the contents of the store in an order in which applying each item is
// correct.
class StoreWatchListener {
 public:
  virtual ~StoreWatchListener() = default;

  // A complete listing replaces what is known; it follows as items.
  virtual void OnListingBegin() = 0;
  virtual void OnListingEnd() = 0;
  virtual void OnItem(const KvItem& item) = 0;
  // The store stopped answering, or answers again after `outage`.
  virtual void OnStoreLost(const std::string& reason) = 0;
  virtual void OnStoreRegained(Duration outage) = 0;
};

// Counts of the calls of a mirror by their result.
struct StoreCallStats {
  std::uint64_t served = 0;
  std::uint64_t refused = 0;
  std::uint64_t unanswered = 0;
  std::uint64_t compacted = 0;
};

// Keeps up with all keys under a prefix: lists them once, then watches for
// changes from the revision of the listing on. It lists again only when the
// store has dropped the history that it needs.
class StoreWatcher {
 public:
  StoreWatcher(TimerService& timers,
               KvStore& store,
               StoreWatchListener& listener,
               std::string prefix,
               Duration watch_wait,
               std::uint64_t seed);

  void Start();
  // Number of daemons that watch the store as this one does.
  void set_fleet_size(int size) { fleet_size_ = size; }
  const StoreCallStats& calls() const { return calls_; }
  bool is_connected() const { return connected_; }
  // Whether a listing was ever completed.
  bool is_listed() const { return listed_; }

 private:
  void List();
  void OnPage(const std::string& after, KvPage page);
  void EndListing();
  void Watch();
  void WatchFor(Duration wait);
  Duration BatchDelay() const;
  void OnEvents(KvPage page);
  void Apply(const KvItem& item);
  void OnFailure(KvStatus status, void (StoreWatcher::*retry)());
  void OnSuccess();

  TimerService& timers_;
  KvStore& store_;
  StoreWatchListener& listener_;
  std::string prefix_;
  Duration watch_wait_;
  RandomEngine random_;
  bool connected_ = false;
  bool listed_ = false;
  bool was_lost_ = false;
  int fleet_size_ = 1;
  int failures_ = 0;
  TimePoint last_success_{};
  // When the call under way was made.
  TimePoint called_at_{};
  StoreCallStats calls_;
  // Where the watch goes on.
  StoreRevision position_{};
  // Revision of the first page of a listing under way.
  StoreRevision listing_revision_{};
  // The newest revision applied of each key, since pages of a listing may be
  // newer than the events that follow.
  std::unordered_map<std::string, StoreRevision> revisions_;
};

}  // namespace jujubecove
