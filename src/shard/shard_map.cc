#include "shard/shard_map.h"

#include <algorithm>
#include <set>
#include <utility>

namespace jujubecove {
namespace {

Error InvalidMapError(ShardMapVersion version, const std::string& detail) {
  return Error{ErrorKind::kBadRequest,
               "shard map " + std::to_string(version.value()) + ": " + detail};
}

}  // namespace

ShardMap::ShardMap(ShardMapVersion version, std::vector<ShardEntry> shards)
    : version_(version), shards_(std::move(shards)) {}

Result<ShardMap> ShardMap::Create(ShardMapVersion version,
                                  std::vector<ShardEntry> shards) {
  if (shards.empty())
    return InvalidMapError(version, "no shards");
  if (!shards.front().range.from.empty())
    return InvalidMapError(version,
                           "the first range does not start the key space");
  if (!shards.back().range.to.empty())
    return InvalidMapError(version,
                           "the last range does not end the key space");
  std::set<ShardId> ids;
  for (std::size_t n = 0; n < shards.size(); ++n) {
    const KeyRange& range = shards[n].range;
    if (!ids.insert(shards[n].id).second)
      return InvalidMapError(version,
                             "duplicate shard " + shards[n].id.value());
    if (n + 1 == shards.size())
      break;
    if (range.to.empty() || range.to <= range.from)
      return InvalidMapError(version, "empty range of " + shards[n].id.value());
    if (range.to != shards[n + 1].range.from)
      return InvalidMapError(
          version, "gap or overlap after shard " + shards[n].id.value());
  }
  return ShardMap(version, std::move(shards));
}

std::size_t ShardMap::IndexOfKey(std::string_view key) const {
  auto it = std::upper_bound(shards_.begin(), shards_.end(), key,
                             [](std::string_view k, const ShardEntry& entry) {
                               return k < entry.range.from;
                             });
  return static_cast<std::size_t>(it - shards_.begin()) - 1;
}

}  // namespace jujubecove
