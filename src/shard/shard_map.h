#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/ids.h"
#include "base/result.h"

namespace jujubecove {

// A half-open range of keys in byte order. An empty `to` means that the range
// has no upper end.
struct KeyRange {
  std::string from;
  std::string to;

  bool Contains(std::string_view key) const {
    return key >= from && (to.empty() || key < to);
  }
  friend bool operator==(const KeyRange&, const KeyRange&) = default;
};

struct ShardEntry {
  ShardId id;
  KeyRange range;
};

// One version of the partitioning of a service's key space. The ranges are
// contiguous and span the whole key space, so that a shard without replicas
// still shows as a gap.
class ShardMap {
 public:
  // Fails unless the ids are unique and the ranges, in order, span the key
  // space without gaps or overlaps.
  static Result<ShardMap> Create(ShardMapVersion version,
                                 std::vector<ShardEntry> shards);

  ShardMapVersion version() const { return version_; }
  const std::vector<ShardEntry>& shards() const { return shards_; }
  std::size_t size() const { return shards_.size(); }

  // Index of the shard that holds `key`.
  std::size_t IndexOfKey(std::string_view key) const;

 private:
  ShardMap(ShardMapVersion version, std::vector<ShardEntry> shards);

  ShardMapVersion version_;
  std::vector<ShardEntry> shards_;
};

}  // namespace jujubecove
