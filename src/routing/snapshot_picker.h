#pragma once

#include <memory>
#include <optional>
#include <vector>

#include "base/ids.h"
#include "base/units.h"
#include "routing/replica_selector.h"
#include "routing/router.h"
#include "routing/searcher_directory.h"
#include "routing/shard_map_catalog.h"

namespace jujubecove {

// Picks the map and the index version under which a query reads.
class SnapshotPicker {
 public:
  SnapshotPicker(const SearcherDirectory& directory,
                 const ReplicaSelector& selector)
      : directory_(directory), selector_(selector) {}

  // The newest map of which every shard has a usable replica, or else the one
  // with the largest share of such shards; null when there is no such shard.
  std::shared_ptr<const ShardMap> PickMap(const ServiceName& service,
                                          const ShardMapCatalog& catalog,
                                          TimePoint now) const;
  std::optional<SnapshotPin> Pick(const ServiceName& service,
                                  const ShardMapCatalog& catalog,
                                  const std::vector<SnapshotPin>& avoid,
                                  TimePoint now) const;

 private:
  // In how many shards a version is held, and in how many by two replicas.
  struct Tally {
    IndexVersion version;
    std::size_t held = 0;
    std::size_t held_twice = 0;
  };

  std::vector<Tally> Count(const ServiceName& service,
                           const ShardMap& map,
                           bool with_ejected,
                           TimePoint now) const;
  std::optional<IndexVersion> PickVersion(const ServiceName& service,
                                          const ShardMap& map,
                                          const std::vector<SnapshotPin>& avoid,
                                          bool with_ejected,
                                          TimePoint now) const;
  std::size_t UsableShards(const ServiceName& service,
                           const ShardMap& map,
                           TimePoint now) const;

  const SearcherDirectory& directory_;
  const ReplicaSelector& selector_;
};

}  // namespace jujubecove
