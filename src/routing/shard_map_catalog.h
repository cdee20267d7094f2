#pragma once

#include <cstddef>
#include <memory>
#include <vector>

#include "base/ids.h"
#include "shard/shard_map.h"

namespace jujubecove {

// The newest shard maps of one service.
class ShardMapCatalog {
 public:
  // One map in use, one being rolled out and one being rolled back.
  static constexpr std::size_t kMaxMaps = 3;

  // False if the map is already known, or older than all kept maps and there
  // is no room.
  bool Add(std::shared_ptr<const ShardMap> map);
  std::shared_ptr<const ShardMap> Find(ShardMapVersion version) const;
  // Newest first.
  const std::vector<std::shared_ptr<const ShardMap>>& maps() const {
    return maps_;
  }
  // Number of shards of the newest map; 0 without a map.
  std::size_t shard_count() const {
    return maps_.empty() ? 0 : maps_.front()->size();
  }

 private:
  std::vector<std::shared_ptr<const ShardMap>> maps_;
};

}  // namespace jujubecove
