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

// The data of one stand-in service: which shard maps exist and what every
// shard holds under each. The key space is cut into buckets, and a reply lists
// each bucket of the shard with the version that was read, so that a test can
// compare the coverage that an answer states with what the answer contains.
class ServiceTopology {
 public:
  // Keys are compared by their first four hexadecimal digits; a bucket is a
  // run of them. More buckets than shards make moved boundaries visible.
  ServiceTopology(ServiceName name,
                  std::size_t shards,
                  std::size_t buckets,
                  std::string padding = {});

  const ServiceName& name() const { return name_; }
  std::size_t shard_count() const { return shard_count_; }
  // Every version has the same shard ids; each moves the boundaries by another
  // number of buckets. Maps are made when they are first asked for.
  std::shared_ptr<const ShardMap> MapOf(ShardMapVersion version) const;
  ShardId IdOfShard(std::size_t shard) const;

  // A JSON array with one record for each bucket of the shard.
  std::string RecordsOf(ShardMapVersion map_version,
                        std::size_t shard,
                        IndexVersion index_version) const;
  // Name of the bucket that holds `key`.
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
