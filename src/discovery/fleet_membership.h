#pragma once

#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>

#include "discovery/fleet_directory.h"
#include "discovery/registration_codec.h"
#include "kernel/timer_service.h"
#include "store/kv_store.h"

namespace jujubecove {

// Registers this entry daemon in the store under a lease and counts the
// registered daemons, among which limits and budgets are shared. A daemon that
// has left counts for some more time, while it drains and until the budget that
// it spent has left the window. A daemon that crashed counts until its lease
// expires. Meanwhile the shares of the others are smaller than necessary.
class FleetMembership {
 public:
  using SizeListener = std::function<void(int)>;
  // Called with the era of each answer of the store.
  using EraListener = std::function<void(StoreEra)>;

  FleetMembership(TimerService& timers,
                  KvStore& store,
                  const RegistrationCodec& codec,
                  DaemonEntry own,
                  SizeListener on_size,
                  EraListener on_era = nullptr);

  // Registers and keeps the registration until Leave.
  void Join();
  // Removes the registration and calls `done` after success or failure.
  void Leave(std::function<void()> done);

  // A registration was read from the store or was removed, in which case there
  // is no value.
  void OnDaemonRegistration(const std::string& id,
                            const std::optional<std::string>& value);
  // The store has come back from an older copy, in which the lease and the
  // registration of this daemon may be missing.
  void OnStoreRestored();
  void BeginListing();
  void EndListing();

  // The daemons whose registrations can be read.
  FleetDirectory& directory() { return directory_; }

 private:
  void Register();
  void OnLease(KvLeaseResult lease);
  void OnRegistered(const KvWriteResult& write);
  void OnRenewed(const KvLeaseResult& lease);
  void NoteEra(StoreEra era);
  void Renew();
  void RetryLater();
  void UpdateDirectory(const VmId& vm, const std::string& value);
  void MarkGone(const std::string& id);
  void EvictGone();
  void ReportSize();

  TimerService& timers_;
  KvStore& store_;
  const RegistrationCodec& codec_;
  DaemonEntry own_;
  SizeListener on_size_;
  EraListener on_era_;
  FleetDirectory directory_;
  // By id, with the time of removal if the registration was removed.
  std::unordered_map<std::string, std::optional<TimePoint>> daemons_;
  std::unordered_set<std::string> listed_ids_;
  bool listing_ = false;
  bool joined_ = false;
  bool registering_ = false;
  bool registered_ = false;
  // Whether the store was restored while a registration was in progress.
  bool register_again_ = false;
  StoreLease lease_;
  int reported_size_ = 0;
};

}  // namespace jujubecove
