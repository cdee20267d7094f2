#include <utility>

#include "gather/fan_out.h"

namespace jujubecove {
namespace {

bool IsFromPinnedVersion(const QueryRun& run,
                         std::size_t shard,
                         const UpstreamReply& reply) {
  return reply.shard == run.IdOfShard(shard) &&
         reply.map_version == run.map->version() &&
         (!run.pinned || reply.index_version == *run.pinned);
}

}  // namespace

void FanOut::HandleReply(UpstreamReply reply) {
  std::optional<OpenAttempt> attempt = sender_.Close(reply.attempt);
  if (!attempt)
    return;
  ServiceWaits& service = *attempt->run->service;
  sender_.Trace(*attempt, reply);
  if (attempt->IsCurrent()) {
    Apply(*attempt, reply);
  } else {
    context_.router.OnReply(reply);
  }
  RetryWaiting(service, attempt->group);
}

void FanOut::Apply(OpenAttempt& attempt, UpstreamReply& reply) {
  QueryRunPtr run = attempt.run;
  run->shards[attempt.shard].RemoveOpen(reply.attempt);
  if (reply.execution != Execution::kNotRun)
    run->may_have_run = true;
  RepeatRule rule = RuleFor(reply.outcome);
  Verdict verdict = Judge(attempt, reply, rule);
  // The router must know that the attempt ended before it chooses again.
  context_.router.OnReply(reply);
  switch (verdict) {
    case Verdict::kGood:
      Cover(run, attempt.shard, reply.index_version);
      break;
    case Verdict::kTooLarge:
      run->detail = "the merged results exceed their bound";
      sender_.CancelOpen(*run, attempt.shard);
      run->SetGap(attempt.shard, GapCause::kBadReply);
      break;
    case Verdict::kFailed:
      Fail(attempt, reply, rule);
      break;
  }
  SettleIfDone(run);
}

// Merges a good reply. `reply` is turned into a bad one when its body is not
// what it should be, so that the router counts it as such.
FanOut::Verdict FanOut::Judge(OpenAttempt& attempt,
                              UpstreamReply& reply,
                              RepeatRule& rule) {
  if (reply.outcome != AttemptOutcome::kOk)
    return Verdict::kFailed;
  QueryRun& run = *attempt.run;
  if (!IsFromPinnedVersion(run, attempt.shard, reply)) {
    rule = RuleForOtherVersion();
    return Verdict::kFailed;
  }
  switch (run.merger->Add(attempt.shard, std::move(reply.body))) {
    case MergeStatus::kMerged:
      return Verdict::kGood;
    case MergeStatus::kTooLarge:
      return Verdict::kTooLarge;
    case MergeStatus::kMalformed:
      break;
  }
  reply.outcome = AttemptOutcome::kBadReply;
  return Verdict::kFailed;
}

void FanOut::Cover(const QueryRunPtr& run,
                   std::size_t shard,
                   IndexVersion version) {
  run->SetCovered(shard, version);
  sender_.CancelOpen(*run, shard);
  hedger_.OnProgress(run);
}

void FanOut::Fail(const OpenAttempt& attempt,
                  const UpstreamReply& reply,
                  const RepeatRule& rule) {
  const QueryRunPtr& run = attempt.run;
  ShardRun& state = run->shards[attempt.shard];
  state.cause = rule.cause;
  state.lost_replica = rule.lost_replica;
  state.tried.push_back(attempt.searcher);
  if (reply.outcome == AttemptOutcome::kRefusedBusy)
    ++run->refused;
  // The shard's other attempt may still answer.
  if (state.open_count() != 0)
    return;
  bool may_repeat = run->spec->idempotent || !run->may_have_run;
  if (!may_repeat || state.attempts >= context_.options.max_attempts) {
    run->SetGap(attempt.shard, rule.cause);
    return;
  }
  state.owes_token = rule.budgeted;
  if (rule.at_once)
    Advance(run, attempt.shard);
  else
    DelayOrGap(run, attempt.shard);
}

}  // namespace jujubecove
