#pragma once

#include <cstddef>

#include "gather/attempt_sender.h"
#include "gather/gather_context.h"
#include "gather/query_run.h"
#include "gather/snapshot_policy.h"

namespace jujubecove {

// Sends a second attempt for shards that have waited unusually long while most
// of their query has answered.
class Hedger {
 public:
  Hedger(GatherContext& context,
         AttemptSender& sender,
         SnapshotPolicy& snapshots);

  // Must be called when a shard was answered or an attempt was sent.
  void OnProgress(const QueryRunPtr& run);

 private:
  static TimePoint DueTime(const ShardRun& shard, Duration delay);
  bool IsCandidate(const ShardRun& shard) const;
  void Arm(const QueryRunPtr& run);
  void Fire(const QueryRunPtr& run);
  bool TryHedge(const QueryRunPtr& run, std::size_t shard);

  GatherContext& context_;
  AttemptSender& sender_;
  SnapshotPolicy& snapshots_;
};

}  // namespace jujubecove
