#include "quota/ownership_guard.h"

#include <algorithm>

namespace jujubecove {

void OwnershipGuard::OnRegistered(const std::vector<DaemonEntry>& peers) {
  registered_ = true;
  registered_at_ = timers_.Now();
  unacknowledged_.clear();
  for (const DaemonEntry& it : peers)
    unacknowledged_.emplace(it.vm, it);
}

void OwnershipGuard::OnUnregistered() {
  registered_ = false;
  unacknowledged_.clear();
}

void OwnershipGuard::OnPeersChanged(const std::vector<DaemonEntry>& peers) {
  std::erase_if(unacknowledged_, [&](const auto& pending) {
    return std::none_of(peers.begin(), peers.end(), [&](const DaemonEntry& it) {
      return it.vm == pending.first &&
             it.incarnation == pending.second.incarnation;
    });
  });
}

void OwnershipGuard::OnAcknowledged(const VmId& vm) {
  unacknowledged_.erase(vm);
}

bool OwnershipGuard::IsHoldOffOver() const {
  return timers_.Now() - registered_at_ >= kHoldOff;
}

bool OwnershipGuard::IsConfirmed() const {
  if (!registered_ || (!unacknowledged_.empty() && !IsHoldOffOver()))
    return false;
  return view_confirmed_() + kViewLifetime > timers_.NowWithSuspension();
}

}  // namespace jujubecove
