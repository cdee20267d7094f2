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

// Picks the shard map and the index version that a query reads.
class SnapshotPicker {
 public:
  SnapshotPicker(const SearcherDirectory& directory,
                 const ReplicaSelector& selector)
      : directory_(directory), selector_(selector) {}

  // The newest map of which every shard has a replica that is not draining, or
  // else the one with the largest share of such shards; null if there is none.
  std::shared_ptr<const ShardMap> PickMap(const ServiceName& service,
                                          const ShardMapCatalog& catalog,
                                          TimePoint now) const;
  std::optional<SnapshotPin> Pick(const ServiceName& service,
                                  const ShardMapCatalog& catalog,
                                  const std::vector<SnapshotPin>& avoid,
                                  TimePoint now) const;

 private:
  // Number of shards that hold a version, and of those that hold it twice.
  struct VersionCount {
    IndexVersion version;
    std::size_t held = 0;
    std::size_t held_twice = 0;
  };

  std::vector<VersionCount> CountVersions(const ServiceName& service,
                                          const ShardMap& map,
                                          bool include_ejected,
                                          TimePoint now) const;
  std::optional<IndexVersion> PickVersion(const ServiceName& service,
                                          const ShardMap& map,
                                          const std::vector<SnapshotPin>& avoid,
                                          bool include_ejected,
                                          TimePoint now) const;
  std::size_t CountUsableShards(const ServiceName& service,
                                const ShardMap& map,
                                TimePoint now) const;

  const SearcherDirectory& directory_;
  const ReplicaSelector& selector_;
};

}  // namespace jujubecove
