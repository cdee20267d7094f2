#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "base/ids.h"
#include "base/result.h"
#include "shard/shard_map.h"
#include "upstream/upstream_transport.h"

namespace jujubecove {

// A report with its generation, a number that the searcher assigns.
struct VersionedReport {
  SearcherReport report;
  std::uint64_t generation = 0;
};

// Body of GET /v1/report: {"service", "holdings": [{"map", "shards",
// "index_versions"}], "slots", "in_flight", "draining", "healthy",
// "generation"}.
std::string EncodeReport(const VersionedReport& report);
// Fails as kBadRequest. Every member is required; unknown ones are ignored.
Result<VersionedReport> DecodeReport(const SearcherId& searcher,
                                     std::string_view body);

// Body of GET /v1/map/{version}: {"version", "shards": [{"id", "from", "to"}]}.
std::string EncodeShardMap(const ShardMap& map);
// Fails as kBadRequest, also if the ranges do not cover the key space.
Result<ShardMap> DecodeShardMap(std::string_view body);

}  // namespace jujubecove
