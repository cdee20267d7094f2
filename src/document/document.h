#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "base/ids.h"
#include "base/units.h"

namespace jujubecove {

// Scheduling priority of a kind; a smaller value is served first.
enum class Urgency : std::uint8_t { kCritical, kHigh, kNormal, kBackground };
inline constexpr int kUrgencyCount = 4;

// Which shards a request of a kind addresses.
enum class Addressing : std::uint8_t { kAllShards, kOneKey };

// How the replies of the shards become one result.
enum class MergeRule : std::uint8_t { kConcatenate, kFirstK };

// One kind of request, as the operators declare it.
struct KindSpec {
  KindName name;
  ServiceName service;
  Urgency urgency = Urgency::kNormal;
  Duration deadline{250'000};
  // Least share of the addressed shards that an answer must cover.
  double least_coverage = 1.0;
  // Whether an incomplete answer may be given at the deadline.
  bool partial = false;
  bool snapshot = false;
  bool idempotent = true;
  bool hedge = true;
  Addressing addressing = Addressing::kAllShards;
  MergeRule merge = MergeRule::kConcatenate;
  // For kFirstK: the field of each record to sort by, the order and the count.
  std::string merge_key;
  bool descending = false;
  std::uint32_t merge_limit = 0;
};

// One service of searchers, as the operators declare it.
struct ServiceSpec {
  ServiceName name;
  std::uint32_t shards = 1;
  std::uint32_t replicas = 1;
  std::uint32_t slots = 1;
  // Connections that one searcher accepts from all entry daemons together.
  std::uint32_t connections = 25;
  Duration connect_cost{6'000};
  // Time that a searcher usually takes for a request, before it is observed.
  Duration expected_latency{10'000};
};

// The operators' document in a parsed and validated form.
struct Document {
  ConfigVersion version;
  std::map<KindName, KindSpec> kinds;
  std::map<ServiceName, ServiceSpec> services;
};

}  // namespace jujubecove
