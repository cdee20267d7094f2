#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "gather/attempt_sender.h"
#include "gather/gather_context.h"
#include "gather/hedger.h"
#include "gather/query_run.h"
#include "gather/retry_policy.h"
#include "gather/snapshot_policy.h"

namespace jujubecove {

// Runs admitted queries from their first attempt until every addressed shard is
// settled, that is, covered or a gap.
class FanOut {
 public:
  // Called when all shards of a query are settled, or when it fails to start.
  // May be called from within any other call.
  using SettledHandler = std::function<void(QueryRunPtr)>;

  FanOut(GatherContext& context, SettledHandler settled);
  ~FanOut();

  FanOut(const FanOut&) = delete;
  FanOut& operator=(const FanOut&) = delete;

  ServiceQueryState& StateOfService(const ServiceName& service);
  void Start(QueryRunPtr run);
  void HandleReply(UpstreamReply reply);
  // Ends the query now: every shard that is not settled becomes a gap.
  void Stop(QueryRunPtr run);
  // Cancels the query's timers, removes it from the wait list and cancels its
  // attempts if it is idempotent.
  void CancelOutstanding(QueryRun& run);

 private:
  enum class ReplyResult : std::uint8_t { kAccepted, kFailed, kTooLarge };

  void RetryPin(const QueryRunPtr& run);
  void Refuse(const QueryRunPtr& run, ErrorKind error, GapCause cause);
  void DispatchAll(const QueryRunPtr& run);
  void RetryShard(const QueryRunPtr& run, std::size_t shard);
  bool TryDispatch(const QueryRunPtr& run, std::size_t shard);
  bool ApplyChoice(const QueryRunPtr& run,
                   std::size_t shard,
                   const ReplicaChoice& choice);
  void AddToWaitList(const QueryRunPtr& run, std::size_t shard);
  void BackOffOrSetGap(const QueryRunPtr& run, std::size_t shard);
  bool TryRestart(const QueryRunPtr& run);
  void RetrySameVersion(const QueryRunPtr& run, std::size_t shard);
  ReplyResult MergeReply(InFlightAttempt& attempt,
                         UpstreamReply& reply,
                         RetryPolicy& policy);
  void HandleSuccess(const QueryRunPtr& run,
                     std::size_t shard,
                     IndexVersion version);
  void HandleFailure(const InFlightAttempt& attempt,
                     const UpstreamReply& reply,
                     const RetryPolicy& policy);
  void ApplyReply(InFlightAttempt& attempt, UpstreamReply& reply);
  void RetryWaiting(ServiceQueryState& service, const WaitGroup& group);
  void RemoveFromWaitList(QueryRun& run, std::size_t shard);
  void ScheduleSweep();
  void SweepWaitLists();
  void SettleIfDone(const QueryRunPtr& run);

  GatherContext& context_;
  SettledHandler settled_;
  AttemptSender sender_;
  SnapshotPolicy snapshots_;
  Hedger hedger_;
  // Never erased: services are few and their names come from the document.
  std::map<ServiceName, std::unique_ptr<ServiceQueryState>> services_;
  TimerId sweep_timer_;
  // Reused to avoid an allocation per choice.
  ReplicaRequest replica_request_;
};

}  // namespace jujubecove
