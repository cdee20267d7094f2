#include "routing/snapshot_picker.h"

#include <algorithm>
#include <cstddef>

namespace jujubecove {
namespace {

bool IsAvoided(const std::vector<SnapshotPin>& avoid,
               ShardMapVersion map,
               IndexVersion version) {
  return std::any_of(avoid.begin(), avoid.end(), [&](const SnapshotPin& pin) {
    return pin.map && pin.map->version() == map && pin.index_version == version;
  });
}

}  // namespace

std::size_t SnapshotPicker::CountUsableShards(const ServiceName& service,
                                              const ShardMap& map,
                                              TimePoint now) const {
  std::size_t count = 0;
  for (const ShardEntry& shard : map.shards()) {
    const ReplicaGroup* group =
        directory_.groups().Find(service, map.version(), shard.id);
    // A replica that is not draining is enough: IsUsable never excludes all of
    // them.
    if (group && selector_.CountReplicas(*group, now).not_draining > 0)
      ++count;
  }
  return count;
}

std::shared_ptr<const ShardMap> SnapshotPicker::PickMap(
    const ServiceName& service,
    const ShardMapCatalog& catalog,
    TimePoint now) const {
  std::shared_ptr<const ShardMap> best;
  double best_share = 0;
  for (const std::shared_ptr<const ShardMap>& map : catalog.maps()) {
    double share = static_cast<double>(CountUsableShards(service, *map, now)) /
                   static_cast<double>(map->size());
    if (share > best_share) {
      best = map;
      best_share = share;
    }
  }
  return best;
}

std::vector<SnapshotPicker::VersionCount> SnapshotPicker::CountVersions(
    const ServiceName& service,
    const ShardMap& map,
    bool include_ejected,
    TimePoint now) const {
  std::vector<VersionCount> counts_by_version;
  std::vector<VersionCount> in_shard;
  auto add = [](std::vector<VersionCount>& list,
                IndexVersion version) -> VersionCount& {
    for (VersionCount& it : list) {
      if (it.version == version)
        return it;
    }
    return list.emplace_back(VersionCount{version});
  };
  for (const ShardEntry& shard : map.shards()) {
    const ReplicaGroup* group =
        directory_.groups().Find(service, map.version(), shard.id);
    if (!group)
      return {};
    ReplicaCounts counts = selector_.CountReplicas(*group, now);
    if (include_ejected)
      counts.active = 0;
    in_shard.clear();
    for (const Replica& replica : group->replicas) {
      if (!selector_.IsUsable(replica, counts, now))
        continue;
      for (IndexVersion version : replica.index_versions)
        ++add(in_shard, version).held;
    }
    for (const VersionCount& it : in_shard) {
      VersionCount& total = add(counts_by_version, it.version);
      ++total.held;
      total.held_twice += it.held >= 2 ? 1 : 0;
    }
  }
  std::sort(counts_by_version.begin(), counts_by_version.end(),
            [](const VersionCount& a, const VersionCount& b) {
              return a.version > b.version;
            });
  return counts_by_version;
}

std::optional<IndexVersion> SnapshotPicker::PickVersion(
    const ServiceName& service,
    const ShardMap& map,
    const std::vector<SnapshotPin>& avoid,
    bool include_ejected,
    TimePoint now) const {
  std::vector<VersionCount> counts_by_version =
      CountVersions(service, map, include_ejected, now);
  std::erase_if(counts_by_version, [&](const VersionCount& it) {
    return IsAvoided(avoid, map.version(), it.version);
  });
  auto newest = std::find_if(
      counts_by_version.begin(), counts_by_version.end(),
      [&map](const VersionCount& it) { return it.held == map.size(); });
  if (newest == counts_by_version.end())
    return std::nullopt;
  // Retries and hedges need a second replica. That is worth reading a version
  // that is older by one.
  auto next = newest + 1;
  if (newest->held_twice < map.size() && next != counts_by_version.end() &&
      next->held_twice == map.size())
    return next->version;
  return newest->version;
}

std::optional<SnapshotPin> SnapshotPicker::Pick(
    const ServiceName& service,
    const ShardMapCatalog& catalog,
    const std::vector<SnapshotPin>& avoid,
    TimePoint now) const {
  for (bool include_ejected : {false, true}) {
    for (const std::shared_ptr<const ShardMap>& map : catalog.maps()) {
      std::optional<IndexVersion> version =
          PickVersion(service, *map, avoid, include_ejected, now);
      if (version)
        return SnapshotPin{map, *version};
    }
  }
  return std::nullopt;
}

}  // namespace jujubecove
