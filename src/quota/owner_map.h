#pragma once

#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "discovery/fleet_directory.h"

namespace jujubecove {

// The VM that grants one availability zone's part of a workspace's tokens.
struct QuotaOwnerVm {
  VmId vm;
  ZoneName zone;
  SocketAddress peer_address;
  bool self = false;
};

// Decides which VM of each availability zone owns a workspace: the one with the
// highest rendezvous hash. All VMs that know the same registrations agree
// without a message, and a VM that joins or leaves moves only its own
// workspaces.
class OwnerMap {
 public:
  OwnerMap(VmId own_vm, ZoneName own_zone, IncarnationId own_incarnation);

  // Takes over the registered VMs.
  void Update(const FleetDirectory& fleet);
  // A VM has announced itself before its registration was read here.
  void AddAnnounced(const DaemonEntry& entry);

  // One owner for each zone, that of the own zone first. The order of the
  // others depends on the own VM, so that the VMs spread their calls.
  const std::vector<QuotaOwnerVm>& OwnersOf(const WorkspaceName& workspace);
  bool IsOwner(const WorkspaceName& workspace);
  // The most zones that were seen at once. Each owner has an equal part of a
  // limit; the parts of the others don't grow when a zone is gone.
  int zone_count() const { return zone_count_; }
  const VmId& own_vm() const { return own_vm_; }
  // Whether the registration of this process is among those taken over.
  bool is_registered() const { return registered_; }
  // The other VMs of the own zone.
  std::vector<DaemonEntry> ZonePeers() const;

 private:
  std::vector<QuotaOwnerVm> Compute(const WorkspaceName& workspace) const;
  void OnChange();

  VmId own_vm_;
  ZoneName own_zone_;
  IncarnationId own_incarnation_;
  bool registered_ = false;
  int zone_count_ = 1;
  // VMs that answer calls, and those of them that are not registered yet.
  std::map<VmId, DaemonEntry> daemons_;
  std::map<VmId, DaemonEntry> announced_;
  std::unordered_map<WorkspaceName, std::vector<QuotaOwnerVm>> owners_;
  std::unordered_map<WorkspaceName, bool> owned_;
};

}  // namespace jujubecove
