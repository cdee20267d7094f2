#pragma once

#include <functional>
#include <map>
#include <utility>
#include <vector>

#include "discovery/daemon_entry.h"
#include "kernel/timer_service.h"

namespace jujubecove {

// Decides whether this VM can be sure that no other VM of its zone believes to
// be the owner of the same workspaces. It can if every VM that was registered
// before it knows it, or grants nothing in full any more because it has not
// read the store for too long; and if it has itself read the store recently.
//
// A VM that starts announces itself to the VMs of its zone, and is sure as soon
// as all of them have acknowledged that, mostly within milliseconds. A VM that
// is down, frozen or cut off delays that by kHoldOff at most.
class OwnershipGuard {
 public:
  // An owner that has not read the store for this long grants only what the
  // slack covers.
  static constexpr Duration kViewLifetime = std::chrono::seconds(15);
  // Longer than the above, since it counts from the registration and the other
  // from the start of the last successful read.
  static constexpr Duration kHoldOff = std::chrono::seconds(17);

  // Returns StoreWatcher::confirmed_at().
  using ViewConfirmed = std::function<TimePoint()>;

  OwnershipGuard(TimerService& timers, ViewConfirmed view_confirmed)
      : timers_(timers), view_confirmed_(std::move(view_confirmed)) {}

  // This process has read its own registration; `peers` are the other VMs of
  // its zone that are registered.
  void OnRegistered(const std::vector<DaemonEntry>& peers);
  // The registration is gone, for example because its lease has expired.
  void OnUnregistered();
  // Another process of the VM, or none, is registered. What is started later
  // than this process knows it.
  void OnPeersChanged(const std::vector<DaemonEntry>& peers);
  void OnAcknowledged(const VmId& vm);

  bool IsConfirmed() const;
  TimePoint view_confirmed() const { return view_confirmed_(); }
  bool is_registered() const { return registered_; }
  // VMs that have not acknowledged yet.
  const std::map<VmId, DaemonEntry>& unacknowledged() const {
    return unacknowledged_;
  }
  bool IsHoldOffOver() const;

 private:
  TimerService& timers_;
  ViewConfirmed view_confirmed_;
  bool registered_ = false;
  TimePoint registered_at_{};
  std::map<VmId, DaemonEntry> unacknowledged_;
};

}  // namespace jujubecove
