#include "tests/standin/service_topology.h"

#include <algorithm>
#include <cstdio>
#include <utility>

namespace jujubecove::standin {
namespace {

constexpr std::size_t kKeySpace = 0x10000;

}  // namespace

ServiceTopology::ServiceTopology(ServiceName name,
                                 std::size_t shards,
                                 std::size_t buckets,
                                 std::string padding)
    : name_(std::move(name)),
      shard_count_(shards),
      bucket_count_(std::max(buckets, shards)),
      padding_(std::move(padding)) {}

ShardId ServiceTopology::IdOfShard(std::size_t shard) const {
  return ShardId("s" + std::to_string(shard));
}

std::string ServiceTopology::BoundaryKey(std::size_t bucket) const {
  char buf[8];
  std::snprintf(buf, sizeof(buf), "%04zx", bucket * kKeySpace / bucket_count_);
  return buf;
}

// Distributes the buckets evenly over the shards and moves every inner boundary
// by up to half a shard, depending on the map version.
std::size_t ServiceTopology::FirstBucket(ShardMapVersion version,
                                         std::size_t shard) const {
  if (shard == 0)
    return 0;
  if (shard >= shard_count_)
    return bucket_count_;
  std::size_t width = bucket_count_ / shard_count_;
  std::size_t offset = width > 1 ? version.value() % width : 0;
  return shard * bucket_count_ / shard_count_ + offset / 2;
}

std::shared_ptr<const ShardMap> ServiceTopology::MapOf(
    ShardMapVersion version) const {
  auto it = maps_.find(version);
  if (it != maps_.end())
    return it->second;
  std::vector<ShardEntry> shards;
  for (std::size_t n = 0; n < shard_count_; ++n) {
    KeyRange range;
    if (n > 0)
      range.from = BoundaryKey(FirstBucket(version, n));
    if (n + 1 < shard_count_)
      range.to = BoundaryKey(FirstBucket(version, n + 1));
    shards.push_back(ShardEntry{IdOfShard(n), range});
  }
  std::shared_ptr<const ShardMap> map = std::make_shared<ShardMap>(
      ShardMap::Create(version, std::move(shards)).value());
  maps_.emplace(version, map);
  return map;
}

std::string ServiceTopology::RecordsOf(ShardMapVersion map_version,
                                       std::size_t shard,
                                       IndexVersion index_version) const {
  std::string records = "[";
  std::size_t end = FirstBucket(map_version, shard + 1);
  for (std::size_t n = FirstBucket(map_version, shard); n < end; ++n) {
    if (records.size() > 1)
      records += ',';
    records += R"({"bucket":")" + BoundaryKey(n) + R"(","version":)" +
               std::to_string(index_version.value());
    if (!padding_.empty())
      records += R"(,"text":")" + padding_ + '"';
    records += '}';
  }
  return records + "]";
}

std::string ServiceTopology::BucketOf(std::string_view key) const {
  std::size_t bucket = bucket_count_ - 1;
  while (bucket > 0 && key < BoundaryKey(bucket))
    --bucket;
  return BoundaryKey(bucket);
}

}  // namespace jujubecove::standin
