#pragma once

#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>

#include "discovery/registration_codec.h"
#include "kernel/timer_service.h"
#include "store/kv_store.h"

namespace jujubecove {

// Registers this entry daemon in the store under a lease and counts those that
// are registered. A daemon that has left still counts for a while: it works on
// until it ends, and what it spent of shared budgets counts until their window
// has passed. One that was lost counts until its lease ends. Both only make the
// others take smaller shares than they could.
class FleetMembership {
 public:
  using SizeListener = std::function<void(int)>;

  FleetMembership(TimerService& timers,
                  KvStore& store,
                  const RegistrationCodec& codec,
                  VmId vm,
                  ZoneName zone,
                  SizeListener on_size);

  // Registers and keeps the registration until Leave.
  void Join();
  // Removes the registration, and calls `done` when that has ended either way.
  void Leave(std::function<void()> done);

  // A registration that was read from the store.
  void OnDaemon(const std::string& id, bool present);
  void BeginListing();
  void EndListing();

 private:
  void Register();
  void OnLease(KvLeaseResult lease);
  void OnRegistered(KvStatus status);
  void Renew();
  void RetryLater();
  void MarkGone(const std::string& id);
  void ForgetGone();
  void ReportSize();

  TimerService& timers_;
  KvStore& store_;
  const RegistrationCodec& codec_;
  VmId vm_;
  ZoneName zone_;
  SizeListener on_size_;
  // By id, with the time at which a registration was removed.
  std::unordered_map<std::string, std::optional<TimePoint>> daemons_;
  std::unordered_set<std::string> listed_;
  bool listing_ = false;
  bool joined_ = false;
  bool registering_ = false;
  bool registered_ = false;
  StoreLease lease_;
  int reported_size_ = 0;
};

}  // namespace jujubecove
