#pragma once

#include <functional>
#include <map>
#include <vector>

#include "discovery/daemon_entry.h"

namespace jujubecove {

// The registered entry daemons, this one included. A daemon that crashed stays
// listed until its lease expires, so users of the directory have to cope with
// daemons that do not answer.
class FleetDirectory {
 public:
  using Listener = std::function<void()>;

  void Put(const DaemonEntry& entry);
  void Remove(const VmId& vm);
  // Null if the daemon is not registered.
  const DaemonEntry* Find(const VmId& vm) const;
  const std::map<VmId, DaemonEntry>& daemons() const { return daemons_; }
  // `listener` is called after each change.
  void Subscribe(Listener listener);

 private:
  void Notify();

  std::map<VmId, DaemonEntry> daemons_;
  std::vector<Listener> listeners_;
};

}  // namespace jujubecove
