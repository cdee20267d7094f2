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

std::size_t SnapshotPicker::UsableShards(const ServiceName& service,
                                         const ShardMap& map,
                                         TimePoint now) const {
  std::size_t count = 0;
  for (const ShardEntry& shard : map.shards()) {
    const ReplicaGroup* group =
        directory_.groups().Find(service, map.version(), shard.id);
    // Neither the list nor the ejection empties a pool that has a staying
    // replica.
    if (group && selector_.Survey(*group, now).staying > 0)
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
    double share = static_cast<double>(UsableShards(service, *map, now)) /
                   static_cast<double>(map->size());
    if (share > best_share) {
      best = map;
      best_share = share;
    }
  }
  return best;
}

std::vector<SnapshotPicker::Tally> SnapshotPicker::Count(
    const ServiceName& service,
    const ShardMap& map,
    bool with_ejected,
    TimePoint now) const {
  std::vector<Tally> tallies;
  std::vector<Tally> in_shard;
  auto add = [](std::vector<Tally>& list, IndexVersion version) -> Tally& {
    for (Tally& it : list) {
      if (it.version == version)
        return it;
    }
    return list.emplace_back(Tally{version});
  };
  for (const ShardEntry& shard : map.shards()) {
    const ReplicaGroup* group =
        directory_.groups().Find(service, map.version(), shard.id);
    if (!group)
      return {};
    PoolState pool = selector_.Survey(*group, now);
    if (with_ejected)
      pool.active = 0;
    in_shard.clear();
    for (const Replica& replica : group->replicas) {
      if (!selector_.IsUsable(replica, pool, now))
        continue;
      for (IndexVersion version : replica.index_versions)
        ++add(in_shard, version).held;
    }
    for (const Tally& it : in_shard) {
      Tally& tally = add(tallies, it.version);
      ++tally.held;
      tally.held_twice += it.held >= 2 ? 1 : 0;
    }
  }
  std::sort(tallies.begin(), tallies.end(), [](const Tally& a, const Tally& b) {
    return a.version > b.version;
  });
  return tallies;
}

std::optional<IndexVersion> SnapshotPicker::PickVersion(
    const ServiceName& service,
    const ShardMap& map,
    const std::vector<SnapshotPin>& avoid,
    bool with_ejected,
    TimePoint now) const {
  std::vector<Tally> tallies = Count(service, map, with_ejected, now);
  std::erase_if(tallies, [&](const Tally& it) {
    return IsAvoided(avoid, map.version(), it.version);
  });
  auto newest =
      std::find_if(tallies.begin(), tallies.end(),
                   [&map](const Tally& it) { return it.held == map.size(); });
  if (newest == tallies.end())
    return std::nullopt;
  // A second replica leaves a choice to retries and hedges, which is worth one
  // version of freshness.
  auto next = newest + 1;
  if (newest->held_twice < map.size() && next != tallies.end() &&
      next->held_twice == map.size())
    return next->version;
  return newest->version;
}

std::optional<SnapshotPin> SnapshotPicker::Pick(
    const ServiceName& service,
    const ShardMapCatalog& catalog,
    const std::vector<SnapshotPin>& avoid,
    TimePoint now) const {
  for (bool with_ejected : {false, true}) {
    for (const std::shared_ptr<const ShardMap>& map : catalog.maps()) {
      std::optional<IndexVersion> version =
          PickVersion(service, *map, avoid, with_ejected, now);
      if (version)
        return SnapshotPin{map, *version};
    }
  }
  return std::nullopt;
}

}  // namespace jujubecove
