#include <utility>

#include "gather/fan_out.h"

namespace jujubecove {
namespace {

bool MatchesRequest(const QueryRun& run,
                    std::size_t shard,
                    const UpstreamReply& reply) {
  return reply.shard == run.IdOfShard(shard) &&
         reply.map_version == run.map->version() &&
         (!run.pinned_version || reply.index_version == *run.pinned_version);
}

}  // namespace

void FanOut::HandleReply(UpstreamReply reply) {
  std::optional<InFlightAttempt> attempt = sender_.Remove(reply.attempt);
  if (!attempt)
    return;
  ServiceQueryState& service = *attempt->run->service;
  sender_.EmitSpan(*attempt, reply);
  if (attempt->IsCurrent()) {
    ApplyReply(*attempt, reply);
  } else {
    context_.router.OnReply(reply);
  }
  RetryWaiting(service, attempt->group);
}

void FanOut::ApplyReply(InFlightAttempt& attempt, UpstreamReply& reply) {
  QueryRunPtr run = attempt.run;
  run->shards[attempt.shard].RemoveAttempt(reply.attempt);
  if (reply.execution != Execution::kNotRun)
    run->may_have_run = true;
  RetryPolicy policy = RetryPolicyFor(reply.outcome);
  ReplyResult result = MergeReply(attempt, reply, policy);
  // The router must see the attempt end before it makes another choice.
  context_.router.OnReply(reply);
  switch (result) {
    case ReplyResult::kAccepted:
      HandleSuccess(run, attempt.shard, reply.index_version);
      break;
    case ReplyResult::kTooLarge:
      run->detail = "the merged results exceed their bound";
      sender_.CancelAttempts(*run, attempt.shard);
      run->SetGap(attempt.shard, GapCause::kBadReply);
      break;
    case ReplyResult::kFailed:
      HandleFailure(attempt, reply, policy);
      break;
  }
  SettleIfDone(run);
}

// Merges a successful reply. The outcome of a reply with a malformed body is
// changed to kBadReply, so that the router counts it as a failure.
FanOut::ReplyResult FanOut::MergeReply(InFlightAttempt& attempt,
                                       UpstreamReply& reply,
                                       RetryPolicy& policy) {
  if (reply.outcome != AttemptOutcome::kOk)
    return ReplyResult::kFailed;
  QueryRun& run = *attempt.run;
  if (!MatchesRequest(run, attempt.shard, reply)) {
    policy = RetryPolicyForWrongVersion();
    return ReplyResult::kFailed;
  }
  switch (run.merger->Add(attempt.shard, std::move(reply.body))) {
    case MergeStatus::kMerged:
      return ReplyResult::kAccepted;
    case MergeStatus::kTooLarge:
      return ReplyResult::kTooLarge;
    case MergeStatus::kMalformed:
      break;
  }
  reply.outcome = AttemptOutcome::kBadReply;
  return ReplyResult::kFailed;
}

void FanOut::HandleSuccess(const QueryRunPtr& run,
                           std::size_t shard,
                           IndexVersion version) {
  run->SetCovered(shard, version);
  sender_.CancelAttempts(*run, shard);
  hedger_.OnProgress(run);
}

void FanOut::HandleFailure(const InFlightAttempt& attempt,
                           const UpstreamReply& reply,
                           const RetryPolicy& policy) {
  const QueryRunPtr& run = attempt.run;
  ShardRun& state = run->shards[attempt.shard];
  state.cause = policy.cause;
  state.replica_unusable = policy.replica_unusable;
  state.tried.push_back(attempt.searcher);
  if (reply.outcome == AttemptOutcome::kRefusedBusy)
    ++run->refused;
  // The shard's other attempt may still succeed.
  if (state.in_flight_count() != 0)
    return;
  bool may_retry = run->spec->idempotent || !run->may_have_run;
  if (!may_retry || state.attempts >= context_.options.max_attempts) {
    run->SetGap(attempt.shard, policy.cause);
    return;
  }
  state.needs_retry_token = policy.uses_budget;
  if (policy.immediate)
    RetryShard(run, attempt.shard);
  else
    BackOffOrSetGap(run, attempt.shard);
}

}  // namespace jujubecove
