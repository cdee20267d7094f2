#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "kernel/timer_service.h"
#include "store/store.h"
#include "store/vm_list.h"
#include "tests/standin/store_model.h"

namespace jujubecove {

// One client's access to a StoreModel, on the clock of a timer service. Each
// client can be cut off on its own, as by a partition.
class FakeStore : public Store, public VmList {
 public:
  FakeStore(TimerService& timers, StoreModel& model);
  ~FakeStore() override;

  // While it is unreachable, calls fail as unavailable after the time-out and
  // replies that are under way are lost.
  void SetReachable(bool reachable) { reachable_ = reachable; }
  void SetCallTimeout(Duration timeout) { call_timeout_ = timeout; }
  // Bytes of the replies that this client received, HTTP included.
  std::uint64_t received_bytes() const { return received_bytes_; }

  void Read(const std::string& key, Handler handler) override;
  void CompareAndSwap(const std::string& key,
                      StoreRevision expected,
                      std::string value,
                      Handler handler) override;
  void AcquireLease(const std::string& name,
                    const std::string& holder,
                    Duration time_to_live,
                    LeaseHandler handler) override;
  void Watch(const std::string& key,
             StoreRevision after,
             Duration timeout,
             Handler handler) override;
  using VmList::Fetch;
  void Fetch(VmListRevision known, VmHandler handler) override;

 private:
  struct Waiter {
    std::string key;
    StoreRevision after;
    TimerId timer;
    Duration half_latency{};
    Handler handler;
  };

  // Runs `effect` when the request arrives and the handler that it returns
  // when the reply does. `lost` runs at the time-out if either goes missing.
  void Start(StoreCall call,
             std::function<std::function<void()>()> effect,
             std::function<void(bool sent)> lost);
  void After(Duration delay, std::function<void()> callback);
  void BeginWait(const std::string& key,
                 StoreRevision after,
                 Duration timeout,
                 Duration half_latency,
                 Handler handler);
  void EndWait(std::uint64_t id, StoreReply reply);
  void OnWrite(const std::string& key);

  TimerService& timers_;
  StoreModel& model_;
  std::uint64_t listener_ = 0;
  bool reachable_ = true;
  std::uint64_t received_bytes_ = 0;
  Duration call_timeout_{2'000'000};
  std::uint64_t next_waiter_ = 1;
  std::map<std::uint64_t, Waiter> waiters_;
  // Expires with this object, which ends the calls under way.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace jujubecove
