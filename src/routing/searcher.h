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

// Dense indices that replace names in arrays.
using SearcherIndex = std::uint32_t;
using ServiceIndex = std::uint32_t;
inline constexpr SearcherIndex kNoSearcher =
    std::numeric_limits<SearcherIndex>::max();

struct ReplicaGroup;

// The shards and index versions that a searcher is known to hold under one map.
struct Holding {
  ShardMapVersion map_version;
  std::vector<ShardId> shards;
  std::vector<IndexVersion> index_versions;

  friend bool operator==(const Holding&, const Holding&) = default;
};

// A map or index version that a reply showed not to be held. Reports that list
// it are ignored until `until`, since they may be older than the reply.
struct MissingHolding {
  ShardMapVersion map_version;
  // Absent if the whole map is missing.
  std::optional<IndexVersion> index_version;
  TimePoint until;
};

// State of one searcher as seen by this daemon.
struct Searcher {
  SearcherId id;
  ServiceIndex service = 0;
  ZoneName zone;
  bool listed = false;
  bool vm_leaving = false;
  // When the searcher last reported that it is draining.
  std::optional<TimePoint> drain_signal_at;
  // Last successful reply or report.
  TimePoint last_response{Duration::min()};
  // The last attempt could not connect.
  bool unreachable = false;
  bool limit_configured = false;
  std::uint32_t reported_slots = 1;
  std::uint32_t in_flight = 0;
  std::vector<Holding> holdings;
  std::vector<MissingHolding> missing_holdings;
  std::vector<ReplicaGroup*> groups;
  SearcherStats stats;
  ConcurrencyLimit limit;
  OutlierEjection ejection;

  bool draining() const { return vm_leaving || drain_signal_at.has_value(); }
};

// One replica of a shard and the index versions that it holds.
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
