#include "quota/owner_map.h"

#include <algorithm>
#include <set>
#include <utility>

#include "base/hash.h"

namespace jujubecove {
namespace {

std::uint64_t ScoreOf(const WorkspaceName& workspace, const VmId& vm) {
  return Hash64(vm.value(), Hash64(workspace.value()));
}

}  // namespace

OwnerMap::OwnerMap(VmId own_vm,
                   ZoneName own_zone,
                   IncarnationId own_incarnation)
    : own_vm_(std::move(own_vm)),
      own_zone_(std::move(own_zone)),
      own_incarnation_(own_incarnation) {}

void OwnerMap::Update(const FleetDirectory& fleet) {
  daemons_.clear();
  for (const auto& [vm, entry] : fleet.daemons()) {
    if (entry.peer_address)
      daemons_.emplace(vm, entry);
    announced_.erase(vm);
  }
  const DaemonEntry* own = fleet.Find(own_vm_);
  registered_ = own != nullptr && own->incarnation == own_incarnation_;
  daemons_.insert(announced_.begin(), announced_.end());
  OnChange();
}

void OwnerMap::AddAnnounced(const DaemonEntry& entry) {
  if (daemons_.contains(entry.vm) || !entry.peer_address)
    return;
  announced_.emplace(entry.vm, entry);
  daemons_.emplace(entry.vm, entry);
  OnChange();
}

void OwnerMap::OnChange() {
  std::set<ZoneName> zones{own_zone_};
  for (const auto& [vm, entry] : daemons_)
    zones.insert(entry.zone);
  zone_count_ = std::max(zone_count_, static_cast<int>(zones.size()));
  owners_.clear();
  owned_.clear();
}

const std::vector<QuotaOwnerVm>& OwnerMap::OwnersOf(
    const WorkspaceName& workspace) {
  auto it = owners_.find(workspace);
  if (it == owners_.end())
    it = owners_.emplace(workspace, Compute(workspace)).first;
  return it->second;
}

bool OwnerMap::IsOwner(const WorkspaceName& workspace) {
  auto [it, added] = owned_.try_emplace(workspace, false);
  if (!added || !daemons_.contains(own_vm_))
    return it->second;
  std::uint64_t own_score = ScoreOf(workspace, own_vm_);
  it->second =
      std::none_of(daemons_.begin(), daemons_.end(), [&](const auto& other) {
        return other.second.zone == own_zone_ &&
               ScoreOf(workspace, other.first) > own_score;
      });
  return it->second;
}

std::vector<DaemonEntry> OwnerMap::ZonePeers() const {
  std::vector<DaemonEntry> peers;
  for (const auto& [vm, entry] : daemons_) {
    if (entry.zone == own_zone_ && vm != own_vm_)
      peers.push_back(entry);
  }
  return peers;
}

std::vector<QuotaOwnerVm> OwnerMap::Compute(
    const WorkspaceName& workspace) const {
  std::map<ZoneName, std::pair<std::uint64_t, const DaemonEntry*>> best;
  for (const auto& [vm, entry] : daemons_) {
    std::uint64_t score = ScoreOf(workspace, vm);
    auto [it, added] = best.try_emplace(entry.zone, score, &entry);
    if (!added && score > it->second.first)
      it->second = {score, &entry};
  }
  std::vector<QuotaOwnerVm> owners;
  for (const auto& [zone, found] : best) {
    const DaemonEntry& entry = *found.second;
    owners.push_back(
        {entry.vm, zone, *entry.peer_address, entry.vm == own_vm_});
  }
  std::uint64_t seed = Hash64(own_vm_.value(), Hash64(workspace.value()));
  auto rank = [&](const QuotaOwnerVm& it) {
    return std::pair(it.zone != own_zone_, Hash64(it.zone.value(), seed));
  };
  std::sort(owners.begin(), owners.end(),
            [&](const QuotaOwnerVm& a, const QuotaOwnerVm& b) {
              return rank(a) < rank(b);
            });
  return owners;
}

}  // namespace jujubecove
