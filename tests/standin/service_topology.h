#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/ids.h"
#include "shard/shard_map.h"

namespace jujubecove::standin {

// The shard maps and records of one stand-in service. The key space is divided
// into buckets. A reply lists every bucket of the shard with the index version
// that was read, so that a test can compare the coverage that an answer states
// with its contents.
class ServiceTopology {
 public:
  // Bucket boundaries are four hexadecimal digits. Shard boundaries differ
  // between map versions only with several buckets per shard. `padding` is
  // added to every record.
  ServiceTopology(ServiceName name,
                  std::size_t shards,
                  std::size_t buckets,
                  std::string padding = {});

  const ServiceName& name() const { return name_; }
  std::size_t shard_count() const { return shard_count_; }
  // All versions have the same shard ids and differ in their shard boundaries.
  // Maps are created on first use.
  std::shared_ptr<const ShardMap> MapOf(ShardMapVersion version) const;
  ShardId IdOfShard(std::size_t shard) const;

  // Returns a JSON array with one record for each bucket of the shard.
  std::string RecordsOf(ShardMapVersion map_version,
                        std::size_t shard,
                        IndexVersion index_version) const;
  // Returns the name of the bucket that holds `key`.
  std::string BucketOf(std::string_view key) const;
  std::size_t bucket_count() const { return bucket_count_; }

 private:
  std::string BoundaryKey(std::size_t bucket) const;
  std::size_t FirstBucket(ShardMapVersion version, std::size_t shard) const;

  ServiceName name_;
  std::size_t shard_count_;
  std::size_t bucket_count_;
  std::string padding_;
  mutable std::map<ShardMapVersion, std::shared_ptr<const ShardMap>> maps_;
};

}  // namespace jujubecove::standin
