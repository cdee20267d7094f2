#include "routing/shard_map_catalog.h"

#include <algorithm>
#include <utility>

namespace jujubecove {

bool ShardMapCatalog::Add(std::shared_ptr<const ShardMap> map) {
  if (!map || Find(map->version()))
    return false;
  auto it = std::find_if(maps_.begin(), maps_.end(), [&map](const auto& known) {
    return known->version() < map->version();
  });
  if (it == maps_.end() && maps_.size() >= kMaxMaps)
    return false;
  maps_.insert(it, std::move(map));
  if (maps_.size() > kMaxMaps)
    maps_.pop_back();
  return true;
}

std::shared_ptr<const ShardMap> ShardMapCatalog::Find(
    ShardMapVersion version) const {
  for (const std::shared_ptr<const ShardMap>& map : maps_) {
    if (map->version() == version)
      return map;
  }
  return nullptr;
}

}  // namespace jujubecove
