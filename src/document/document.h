#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "base/ids.h"
#include "base/units.h"

namespace jujubecove {

// Scheduling priority of a kind. Smaller values are served first.
enum class Urgency : std::uint8_t { kCritical, kHigh, kNormal, kBackground };
inline constexpr int kUrgencyCount = 4;

// Which shards a request of a kind addresses.
enum class Addressing : std::uint8_t { kAllShards, kOneKey };

// How the replies of the shards are merged into one result.
enum class MergeRule : std::uint8_t { kConcatenate, kFirstK };

// A kind of request that the operators' document declares.
struct KindSpec {
  KindName name;
  ServiceName service;
  Urgency urgency = Urgency::kNormal;
  Duration deadline{250'000};
  // Minimum share of the addressed shards that an answer must cover.
  double least_coverage = 1.0;
  // Whether an incomplete answer may be sent at the deadline.
  bool partial = false;
  bool snapshot = false;
  bool idempotent = true;
  bool hedge = true;
  Addressing addressing = Addressing::kAllShards;
  MergeRule merge = MergeRule::kConcatenate;
  // For kFirstK: the field that records are sorted by, the sort order and the
  // number of records to keep.
  std::string merge_key;
  bool descending = false;
  std::uint32_t merge_limit = 0;
};

// A service of searchers that the operators' document declares.
struct ServiceSpec {
  ServiceName name;
  std::uint32_t shards = 1;
  std::uint32_t replicas = 1;
  std::uint32_t slots = 1;
  // Connections that a searcher accepts from all entry daemons together.
  std::uint32_t connections = 25;
  Duration connect_cost{6'000};
  // Latency estimate until a searcher's latency has been observed.
  Duration expected_latency{10'000};
};

// The operators' document, parsed and validated.
struct Document {
  ConfigVersion version;
  std::map<KindName, KindSpec> kinds;
  std::map<ServiceName, ServiceSpec> services;
};

}  // namespace jujubecove
