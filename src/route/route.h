#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/units.h"

namespace jujubecove {

// A service of a traffic split with its relative weight.
struct WeightedService {
  ServiceName service;
  double weight = 1.0;
};

// How a route sends a request to several shards and merges their replies.
struct ScatterSpec {
  // Each shard is its own service.
  std::vector<ServiceName> shards;
  std::size_t top_records = 0;
  // Share of the shards, 0 to 1, that a successful answer must contain at
  // least.
  double min_shard_share = 1.0;

  // Number of shards that a successful answer must contain at least.
  std::size_t RequiredShards() const;
};

// One route of the operators' configuration: the requests that it matches and
// how they are handled.
struct Route {
  std::string name;
  std::string host;
  // Begins and ends with a slash.
  std::string prefix;
  // Whether requests may run more than once.
  bool idempotent = false;
  // Longest time to an answer.
  Duration timeout{};
  // Answers after this time count as late.
  Duration target_latency{};
  // 0 is the most urgent.
  int urgency = 0;
  // Limit per request, or per shard of a scattered request.
  int max_attempts = 1;
  // Empty when `scatter` is set.
  std::vector<WeightedService> split;
  std::optional<ScatterSpec> scatter;
  // Whether requests need no API key.
  bool anonymous = false;
  // Regions in which requests may be handled. Empty means all.
  std::vector<RegionName> allowed_regions;
};

// A workspace of the operators' configuration, to which requests belong by
// their API key.
struct Workspace {
  WorkspaceName name;
  std::vector<std::string> api_keys;
  // Takes precedence over the urgency of the route.
  std::optional<int> urgency;
  // Rate limit of the workspace over all entry daemons together: requests per
  // second, and requests beyond them at once. A rate of 0 means no limit.
  double rate_per_second = 0.0;
  double burst = 0.0;
  // Regions in which its requests may be handled. Empty means all.
  std::vector<RegionName> allowed_regions;
};

// Configuration of one service.
struct ServiceConfig {
  ServiceName name;
  // Connections that one searcher accepts from all clients together.
  int max_connections = 1;
  // Requests per second that a searcher bears during its warm-up. 0 means no
  // limit.
  double warmup_rate = 0.0;
};

// Limits on the size and duration of callers' requests.
struct IngressLimits {
  std::size_t max_header_bytes = 16384;
  std::size_t max_body_bytes = 1048576;
  Duration header_timeout = std::chrono::seconds(10);
  Duration idle_timeout = std::chrono::seconds(60);
};

// One version of the operators' configuration.
struct ServingConfig {
  ConfigVersion version;
  std::vector<Route> routes;
  std::vector<ServiceConfig> services;
  IngressLimits limits;
  // Whether requests need the API key of a workspace, unless their route is
  // anonymous.
  bool requires_api_key = false;
  std::vector<Workspace> workspaces;
  // Parts of the document that can't be used, each with its reason, while the
  // rest is in force. Never contains an API key.
  std::vector<std::string> faults;
};

}  // namespace jujubecove
