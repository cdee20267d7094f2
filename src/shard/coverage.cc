#include "shard/coverage.h"

#include <algorithm>

namespace jujubecove {

std::string_view NameOf(GapCause cause) {
  switch (cause) {
    case GapCause::kNoReplica:
      return "no_replica";
    case GapCause::kTimeout:
      return "timeout";
    case GapCause::kRefused:
      return "refused";
    case GapCause::kVersionUnavailable:
      return "version_unavailable";
    case GapCause::kBadReply:
      return "bad_reply";
    case GapCause::kFailed:
      return "failed";
    case GapCause::kNotAddressed:
      break;
  }
  return "not_addressed";
}

Coverage::Coverage(const ShardMap& map, GapCause initial)
    : map_version_(map.version()),
      shards_(map.shards()),
      states_(map.size(), State{false, initial}) {}

void Coverage::SetCovered(std::size_t shard) {
  states_[shard].covered = true;
}

void Coverage::SetGap(std::size_t shard, GapCause cause) {
  states_[shard] = State{false, cause};
}

std::size_t Coverage::covered_count() const {
  return static_cast<std::size_t>(
      std::count_if(states_.begin(), states_.end(),
                    [](const State& state) { return state.covered; }));
}

std::size_t Coverage::addressed_count() const {
  return static_cast<std::size_t>(
      std::count_if(states_.begin(), states_.end(), [](const State& state) {
        return state.covered || state.cause != GapCause::kNotAddressed;
      }));
}

double Coverage::covered_share() const {
  std::size_t addressed = addressed_count();
  if (addressed == 0)
    return 0.0;
  return static_cast<double>(covered_count()) / static_cast<double>(addressed);
}

}  // namespace jujubecove
