#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/units.h"

namespace jujubecove {

// One service of a traffic split, with its relative weight.
struct WeightedService {
  ServiceName service;
  double weight = 1.0;
};

// How a route that asks every shard of a set merges the parts.
struct ScatterSpec {
  // Each shard is a service of its own.
  std::vector<ServiceName> shards;
  std::size_t top_records = 0;
  // Least share of the shards that a successful answer must contain, 0 to 1.
  double min_shard_share = 1.0;
};

// One route of the operators' configuration: which requests it takes and what
// their answers need.
struct Route {
  std::string name;
  std::string host;
  // Begins and ends with a slash.
  std::string prefix;
  // Whether a request may run more than once.
  bool idempotent = false;
  // The longest time that a caller is kept waiting.
  Duration timeout{};
  // The time within which an answer has its full value.
  Duration target_latency{};
  // Rank of the route, where 0 is the most urgent.
  int urgency = 0;
  // Most searchers that one request may be sent to; of each shard if the route
  // asks several.
  int max_attempts = 1;
  // Empty when `scatter` is set.
  std::vector<WeightedService> split;
  std::optional<ScatterSpec> scatter;
};

// What the configuration says of one service.
struct ServiceConfig {
  ServiceName name;
  // Connections that one searcher accepts from all callers together.
  int max_connections = 1;
};

// Bounds on what a caller may send and how long it may take.
struct IngressLimits {
  std::size_t max_header_bytes = 16384;
  std::size_t max_body_bytes = 1048576;
  Duration header_timeout = std::chrono::seconds(10);
  Duration idle_timeout = std::chrono::seconds(60);
};

// One whole version of the operators' configuration.
struct ServingConfig {
  ConfigVersion version;
  std::vector<Route> routes;
  std::vector<ServiceConfig> services;
  IngressLimits limits;
};

}  // namespace jujubecove
