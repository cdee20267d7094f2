#pragma once

#include <cstddef>
#include <memory>
#include <vector>

#include "base/ids.h"
#include "shard/shard_map.h"

namespace jujubecove {

// The newest few shard maps of one service.
class ShardMapCatalog {
 public:
  // One map in use, one being rolled out and one being rolled back from.
  static constexpr std::size_t kKept = 3;

  // False when the map is known or older than all that are kept.
  bool Add(std::shared_ptr<const ShardMap> map);
  std::shared_ptr<const ShardMap> Find(ShardMapVersion version) const;
  // Newest first.
  const std::vector<std::shared_ptr<const ShardMap>>& maps() const {
    return maps_;
  }
  // Shards of the newest map; 0 without a map.
  std::size_t shard_count() const {
    return maps_.empty() ? 0 : maps_.front()->size();
  }

 private:
  std::vector<std::shared_ptr<const ShardMap>> maps_;
};

}  // namespace jujubecove
