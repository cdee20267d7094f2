#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

#include "base/ids.h"
#include "shard/shard_map.h"

namespace jujubecove {

// Why a shard is not covered by an answer.
enum class GapCause : std::uint8_t {
  kNoReplica,
  kTimeout,
  kRefused,
  kVersionUnavailable,
  kBadReply,
  kFailed,
  kNotAddressed,
};

std::string_view NameOf(GapCause cause);

// Which shards of a map, and so which key ranges, an answer covers. Each shard
// is either covered or a gap with a cause, so that both always add up to the
// whole map.
class Coverage {
 public:
  Coverage() = default;
  // Starts with every shard as a gap with the cause `initial`.
  Coverage(const ShardMap& map, GapCause initial);

  void SetCovered(std::size_t shard);
  void SetGap(std::size_t shard, GapCause cause);
  bool IsCovered(std::size_t shard) const { return states_[shard].covered; }
  GapCause CauseOf(std::size_t shard) const { return states_[shard].cause; }

  ShardMapVersion map_version() const { return map_version_; }
  const std::vector<ShardEntry>& shards() const { return shards_; }
  std::size_t covered_count() const;
  // Number of shards without the cause kNotAddressed.
  std::size_t addressed_count() const;
  // Share of the addressed shards that are covered; 0 for an empty map.
  double covered_share() const;

 private:
  struct State {
    bool covered = false;
    GapCause cause = GapCause::kNoReplica;
  };

  ShardMapVersion map_version_;
  std::vector<ShardEntry> shards_;
  std::vector<State> states_;
};

}  // namespace jujubecove
