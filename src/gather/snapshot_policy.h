#pragma once

#include "gather/gather_context.h"
#include "gather/query_run.h"

namespace jujubecove {

enum class PinStatus : std::uint8_t {
  kPinned,
  // No shard map is known.
  kNoMap,
  // The shards have no version in common. The query gets the current map.
  kNoCommonVersion,
};

// Chooses the map and, for a snapshot kind, the index version of a query.
class SnapshotPolicy {
 public:
  explicit SnapshotPolicy(GatherContext& context);

  PinStatus Pin(QueryRun& run);
  // Returns another map or version to restart under. Returns nothing when there
  // is none, when no time or restarts are left, or when a non-idempotent
  // request may already have run.
  std::optional<SnapshotPin> FindAlternative(const QueryRun& run) const;
  // Makes later queries prefer other common versions, because a shard cannot be
  // read at the version pinned by `run`, or only slowly.
  void SuspectVersion(const QueryRun& run);
  // Restarts the query under the map and version of `pin`.
  void Restart(QueryRun& run, const SnapshotPin& pin);

 private:
  std::optional<SnapshotPin> PickUnsuspected(ServiceQueryState& service);

  GatherContext& context_;
};

}  // namespace jujubecove
