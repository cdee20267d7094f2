#pragma once

#include <cstddef>
#include <string>

namespace jujubecove::soak {

// The smallest cluster in which the minimum share is a whole number of shards.
inline constexpr int kShards = 4;
inline constexpr int kReplicas = 3;
inline constexpr std::size_t kMinShards = 3;
inline constexpr double kMinShardShare = 0.75;
inline constexpr std::size_t kTopRecords = 5;
inline constexpr char kHost[] = "soak.example";
inline constexpr char kLookupService[] = "receipts";

inline std::string ShardName(int n) {
  return "shard-" + std::to_string(n);
}

// The configuration of this version: the callers' routes, and one probe route
// for each version up to this one.
std::string MakeConfiguration(int version);

}  // namespace jujubecove::soak
