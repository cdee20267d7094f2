#pragma once

#include <cstddef>
#include <string>

namespace jujubecove::soak {

// The shape of the world under test: the smallest one with whole shards.
inline constexpr int kShards = 4;
inline constexpr int kReplicas = 3;
inline constexpr std::size_t kLeastShards = 3;
inline constexpr double kLeastShare = 0.75;
inline constexpr std::size_t kTopRecords = 5;
inline constexpr char kHost[] = "soak.example";
inline constexpr char kLookupService[] = "receipts";

inline std::string ShardName(int n) {
  return "shard-" + std::to_string(n);
}

// The document of one version: the routes of the callers, and one probe route
// for each version so far.
std::string Configuration(int version);

}  // namespace jujubecove::soak
