#pragma once

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "kernel/timer_service.h"
#include "store/kv_store.h"

namespace jujubecove {

// An in-memory implementation of the platform's store on a test's clock, with
// faults.
class FakeKvStore : public KvStore {
 public:
  explicit FakeKvStore(TimerService& timers) : timers_(timers) {}

  void Range(const std::string& prefix,
             const std::string& after,
             std::function<void(KvPage)> done) override;
  void Watch(const std::string& prefix,
             StorePosition after,
             Duration wait,
             std::function<void(KvPage)> done) override;
  void Put(const std::string& key,
           const std::string& value,
           StoreLease lease,
           std::function<void(KvWriteResult)> done) override;
  void Delete(const std::string& key,
              std::function<void(KvWriteResult)> done) override;
  void GrantLease(Duration ttl,
                  std::function<void(KvLeaseResult)> done) override;
  void RenewLease(StoreLease lease,
                  std::function<void(KvLeaseResult)> done) override;

  // Changes made by other clients, effective at once.
  void Set(const std::string& key, const std::string& value);
  void Remove(const std::string& key);
  // Drops the history up to the current revision.
  void Compact() { compacted_revision_ = revision_; }
  // Remembers the present state, and goes back to it: later changes and leases
  // are gone, their revisions are given out again, and the era rises by one.
  void TakeCopy();
  void RestoreCopy();
  // From now on all calls fail with this status; kOk ends the failure.
  void set_call_status(KvStatus status) { call_status_ = status; }
  // From now on watches get no answer and end with kUnknown after this time;
  // zero ends the fault.
  void set_watch_loss_timeout(Duration time) { watch_loss_timeout_ = time; }
  // From now on a watch that has waited for so long without a change ends with
  // kUnknown, as when its connection is closed; zero ends the fault.
  void set_watch_cut_after(Duration time) { watch_cut_after_ = time; }
  // A watch whose events have more bytes of values than this ends with
  // kTooLarge.
  void set_max_watch_bytes(std::size_t size) { max_watch_bytes_ = size; }
  void set_page_size(std::size_t size) { page_size_ = size; }
  // Runs once, before the second page of a listing is read.
  void set_before_second_page(std::function<void()> action) {
    before_second_page_ = std::move(action);
  }
  int calls() const { return calls_; }
  // The wait that the latest watch asked for.
  Duration last_watch_wait() const { return last_watch_wait_; }
  bool Has(const std::string& key) const { return items_.contains(key); }
  const std::string& ValueOf(const std::string& key) const {
    return items_.at(key).value;
  }

 private:
  struct PendingWatch {
    std::string prefix;
    StoreRevision after;
    TimePoint until;
    // Whether it ends without an answer.
    bool is_cut = false;
    std::function<void(KvPage)> done;
  };

  void ScheduleReply(std::function<void()> reply);
  KvPage EventsAfter(const std::string& prefix, StoreRevision after) const;
  void AnswerWatches();
  StoreEra era() const { return StoreEra(era_); }
  KvWriteResult Apply(KvItem item);

  struct Copy {
    std::map<std::string, KvItem> items;
    std::deque<KvItem> history;
    std::int64_t revision = 1;
    std::int64_t last_lease = 0;
  };

  TimerService& timers_;
  Copy copy_;
  std::int64_t era_ = 0;
  std::map<std::string, KvItem> items_;
  std::deque<KvItem> history_;
  std::vector<PendingWatch> pending_watches_;
  std::int64_t revision_ = 1;
  std::int64_t compacted_revision_ = 0;
  std::int64_t last_lease_ = 0;
  KvStatus call_status_ = KvStatus::kOk;
  Duration watch_loss_timeout_{};
  Duration watch_cut_after_{};
  Duration last_watch_wait_{};
  std::size_t max_watch_bytes_ = std::size_t{8} << 20U;
  std::size_t page_size_ = 500;
  std::function<void()> before_second_page_;
  int calls_ = 0;
};

}  // namespace jujubecove
