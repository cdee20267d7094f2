#pragma once

#include <cstddef>

#include "gather/attempt_sender.h"
#include "gather/gather_context.h"
#include "gather/query_run.h"
#include "gather/snapshot_policy.h"

namespace jujubecove {

// Sends a second attempt for slow shards once most shards of their query have
// answered.
class Hedger {
 public:
  Hedger(GatherContext& context,
         AttemptSender& sender,
         SnapshotPolicy& snapshots);

  // Must be called after a shard has answered or an attempt has been sent.
  void OnProgress(const QueryRunPtr& run);

 private:
  static TimePoint DueTime(const ShardRun& shard, Duration delay);
  bool IsCandidate(const ShardRun& shard) const;
  void ScheduleHedges(const QueryRunPtr& run);
  void SendDueHedges(const QueryRunPtr& run);
  bool TryHedge(const QueryRunPtr& run, std::size_t shard);

  GatherContext& context_;
  AttemptSender& sender_;
  SnapshotPolicy& snapshots_;
};

}  // namespace jujubecove
