#pragma once

#include "gather/gather_context.h"
#include "gather/query_run.h"

namespace jujubecove {

enum class PinStatus : std::uint8_t {
  kPinned,
  // No shard map is known.
  kNoMap,
  // The shards have no version in common; the current map is set.
  kNoVersion,
};

// Chooses the map and, for a snapshot kind, the index version of a query.
class SnapshotPolicy {
 public:
  explicit SnapshotPolicy(GatherContext& context);

  PinStatus Pin(QueryRun& run);
  // Another map or version to start again with. Nothing when there is none,
  // when time or the number of restarts is spent, or when the request may
  // already have had an effect.
  std::optional<SnapshotPin> FindOther(const QueryRun& run) const;
  // A shard of the query can't be read at the pinned version, or only slowly.
  // Later queries use another common version if there is one.
  void Suspect(const QueryRun& run);
  // Gives up the present map and version for `pin`.
  void Restart(QueryRun& run, const SnapshotPin& pin);

 private:
  std::optional<SnapshotPin> PickUnsuspected(ServiceWaits& service);

  GatherContext& context_;
};

}  // namespace jujubecove
