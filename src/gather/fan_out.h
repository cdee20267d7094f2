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

// Carries admitted queries from their first attempt until every addressed shard
// is covered or a gap.
class FanOut {
 public:
  // Called when a query has nothing left to do, from within any other call.
  using SettledHandler = std::function<void(QueryRunPtr)>;

  FanOut(GatherContext& context, SettledHandler settled);
  ~FanOut();

  FanOut(const FanOut&) = delete;
  FanOut& operator=(const FanOut&) = delete;

  ServiceWaits& WaitsOf(const ServiceName& service);
  void Start(QueryRunPtr run);
  void HandleReply(UpstreamReply reply);
  // The time of the query is up: what is open becomes a gap.
  void Cut(QueryRunPtr run);
  // Ends what a finished query has left: attempts, timers and waits.
  void Release(QueryRun& run);

 private:
  enum class Verdict : std::uint8_t { kGood, kFailed, kTooLarge };

  void RetryPin(const QueryRunPtr& run);
  void FailStart(const QueryRunPtr& run, ErrorKind error, GapCause cause);
  void RunAll(const QueryRunPtr& run);
  void Advance(const QueryRunPtr& run, std::size_t shard);
  bool Dispatch(const QueryRunPtr& run, std::size_t shard);
  bool Follow(const QueryRunPtr& run,
              std::size_t shard,
              const ReplicaChoice& choice);
  void Wait(const QueryRunPtr& run, std::size_t shard);
  void DelayOrGap(const QueryRunPtr& run, std::size_t shard);
  bool TryRestart(const QueryRunPtr& run);
  void LoseVersion(const QueryRunPtr& run, std::size_t shard);
  Verdict Judge(OpenAttempt& attempt, UpstreamReply& reply, RepeatRule& rule);
  void Cover(const QueryRunPtr& run, std::size_t shard, IndexVersion version);
  void Fail(const OpenAttempt& attempt,
            const UpstreamReply& reply,
            const RepeatRule& rule);
  void Apply(OpenAttempt& attempt, UpstreamReply& reply);
  void RetryWaiting(ServiceWaits& service, const WaitGroup& group);
  void LeaveWaitList(QueryRun& run, std::size_t shard);
  void ScheduleSweep();
  void Sweep();
  void SettleIfDone(const QueryRunPtr& run);

  GatherContext& context_;
  SettledHandler settled_;
  AttemptSender sender_;
  SnapshotPolicy snapshots_;
  Hedger hedger_;
  // Kept for good: services are few and their names come from the document.
  std::map<ServiceName, std::unique_ptr<ServiceWaits>> services_;
  TimerId sweep_timer_;
  // Reused, so that a choice costs no allocation.
  ReplicaRequest choice_request_;
};

}  // namespace jujubecove
