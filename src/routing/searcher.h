#pragma once

#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/units.h"
#include "routing/concurrency_limit.h"
#include "routing/outlier_ejection.h"
#include "routing/searcher_stats.h"

namespace jujubecove {

// Dense numbers in place of names, for arrays.
using SearcherIndex = std::uint32_t;
using ServiceIndex = std::uint32_t;
inline constexpr SearcherIndex kNoSearcher =
    std::numeric_limits<SearcherIndex>::max();

struct ReplicaGroup;

// What a searcher is believed to hold under one map.
struct Holding {
  ShardMapVersion map_version;
  std::vector<ShardId> shards;
  std::vector<IndexVersion> index_versions;

  friend bool operator==(const Holding&, const Holding&) = default;
};

// A refusal that showed a belief to be wrong. Reports that claim the opposite
// are not believed until `until`, since they may be older than the refusal.
struct Correction {
  ShardMapVersion map_version;
  // Absent when the whole map is not held.
  std::optional<IndexVersion> index_version;
  TimePoint until;
};

// All that is known of one searcher.
struct Searcher {
  SearcherId id;
  ServiceIndex service = 0;
  ZoneName zone;
  bool listed = false;
  bool list_leaving = false;
  // Since the searcher itself last said that it drains.
  std::optional<TimePoint> drain_sign;
  // When it last answered anything.
  TimePoint last_evidence{Duration::min()};
  // The last attempt could not connect.
  bool unreachable = false;
  bool configured = false;
  std::uint32_t reported_slots = 1;
  std::uint32_t in_flight = 0;
  std::vector<Holding> holdings;
  std::vector<Correction> corrections;
  // The groups of which the searcher is a replica.
  std::vector<ReplicaGroup*> groups;
  SearcherStats stats;
  ConcurrencyLimit limit;
  OutlierEjection ejection;

  bool leaving() const { return list_leaving || drain_sign.has_value(); }
};

// One replica of a shard with the index versions that it holds.
struct Replica {
  SearcherIndex searcher = kNoSearcher;
  std::vector<IndexVersion> index_versions;

  bool Holds(IndexVersion version) const;
};

// The replicas of one shard under one map.
struct ReplicaGroup {
  ServiceIndex service = 0;
  ShardMapVersion map_version;
  ShardId shard;
  std::vector<Replica> replicas;
};

}  // namespace jujubecove
