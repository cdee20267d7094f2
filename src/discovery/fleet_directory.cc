#include "discovery/fleet_directory.h"

#include <utility>

namespace jujubecove {

void FleetDirectory::Put(const DaemonEntry& entry) {
  daemons_[entry.vm] = entry;
  Notify();
}

void FleetDirectory::Remove(const VmId& vm) {
  if (daemons_.erase(vm) > 0)
    Notify();
}

const DaemonEntry* FleetDirectory::Find(const VmId& vm) const {
  auto it = daemons_.find(vm);
  return it == daemons_.end() ? nullptr : &it->second;
}

void FleetDirectory::Subscribe(Listener listener) {
  listeners_.push_back(std::move(listener));
}

void FleetDirectory::Notify() {
  for (const Listener& it : listeners_)
    it();
}

}  // namespace jujubecove
