#include "gather/query_run.h"

#include <utility>

namespace jujubecove {

std::size_t ShardRun::in_flight_count() const {
  return (in_flight[0] == AttemptId() ? 0U : 1U) +
         (in_flight[1] == AttemptId() ? 0U : 1U);
}

void ShardRun::AddAttempt(AttemptId attempt) {
  in_flight[in_flight[0] == AttemptId() ? 0 : 1] = attempt;
}

void ShardRun::RemoveAttempt(AttemptId attempt) {
  for (AttemptId& it : in_flight) {
    if (it == attempt)
      it = AttemptId();
  }
}

void QueryRun::Reset(std::shared_ptr<const ShardMap> new_map,
                     std::optional<IndexVersion> version,
                     std::size_t max_result_bytes) {
  map = std::move(new_map);
  pinned_version = version;
  bool one_key = spec->addressing == Addressing::kOneKey;
  first_shard = one_key ? map->IndexOfKey(request.key) : 0;
  shards.assign(one_key ? 1 : map->size(), ShardRun());
  covered = 0;
  unsettled = shards.size();
  read_version.reset();
  versions_differ = false;
  coverage = Coverage(*map, GapCause::kNotAddressed);
  for (std::size_t n = 0; n < shards.size(); ++n)
    coverage.SetGap(MapIndex(n), GapCause::kTimeout);
  merger = MakeMerger(*spec, shards.size(), max_result_bytes);
}

void QueryRun::SetCovered(std::size_t shard, IndexVersion version) {
  shards[shard].phase = ShardPhase::kCovered;
  coverage.SetCovered(MapIndex(shard));
  ++covered;
  --unsettled;
  if (read_version && *read_version != version)
    versions_differ = true;
  read_version = version;
}

void QueryRun::SetGap(std::size_t shard, GapCause cause) {
  shards[shard].phase = ShardPhase::kGap;
  coverage.SetGap(MapIndex(shard), cause);
  --unsettled;
}

std::optional<IndexVersion> QueryRun::CommonVersion() const {
  return versions_differ ? std::nullopt : read_version;
}

}  // namespace jujubecove
