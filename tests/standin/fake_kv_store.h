#pragma once

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "kernel/timer_service.h"
#include "store/kv_store.h"

namespace jujubecove {

// The platform's store in memory, on a test's clock, with its faults.
class FakeKvStore : public KvStore {
 public:
  explicit FakeKvStore(TimerService& timers) : timers_(timers) {}

  void Range(const std::string& prefix,
             const std::string& after,
             std::function<void(KvPage)> done) override;
  void Watch(const std::string& prefix,
             StoreRevision after,
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
                  std::function<void(KvStatus)> done) override;

  // Changes of others.
  void Set(const std::string& key, const std::string& value);
  void Remove(const std::string& key);
  // Drops the history up to now.
  void Compact() { compacted_ = revision_; }
  // Calls end with this status from now on; kOk serves them.
  void set_call_status(KvStatus status) { failure_ = status; }
  // Watches are not answered from now on; their caller gives each up after this
  // time. Zero answers them.
  void set_watch_loss_timeout(Duration time) { watches_lost_after_ = time; }
  void set_page_size(std::size_t size) { page_size_ = size; }
  // Runs once, before the second page of a listing is read.
  void set_before_second_page(std::function<void()> action) {
    between_pages_ = std::move(action);
  }
  int calls() const { return calls_; }
  // How long the latest watch was to wait.
  Duration last_watch_wait() const { return watch_wait_; }
  bool Has(const std::string& key) const { return items_.contains(key); }

 private:
  struct Waiting {
    std::string prefix;
    StoreRevision after;
    TimePoint until;
    std::function<void(KvPage)> done;
  };

  void Answer(std::function<void()> answer);
  KvPage EventsAfter(const std::string& prefix, StoreRevision after) const;
  void Wake();
  KvWriteResult Change(KvItem item);

  TimerService& timers_;
  std::map<std::string, KvItem> items_;
  std::deque<KvItem> history_;
  std::vector<Waiting> waiting_;
  std::int64_t revision_ = 1;
  std::int64_t compacted_ = 0;
  std::int64_t last_lease_ = 0;
  KvStatus failure_ = KvStatus::kOk;
  Duration watches_lost_after_{};
  Duration watch_wait_{};
  std::size_t page_size_ = 500;
  std::function<void()> between_pages_;
  int calls_ = 0;
};

}  // namespace jujubecove
