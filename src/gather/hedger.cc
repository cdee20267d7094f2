#include "gather/hedger.h"

#include <algorithm>
#include <memory>
#include <optional>
#include <utility>

namespace jujubecove {
namespace {

// True when three quarters of the shards that are not gaps have answered, or
// all but one of them, because a query of fewer than four shards can never
// reach three quarters with one still missing.
bool HasMostAnswers(const QueryRun& run) {
  std::size_t expected = run.covered + run.unsettled;
  return run.covered * 4 >= expected * 3 || run.covered + 1 >= expected;
}

}  // namespace

Hedger::Hedger(GatherContext& context,
               AttemptSender& sender,
               SnapshotPolicy& snapshots)
    : context_(context), sender_(sender), snapshots_(snapshots) {}

// A shard whose attempt went to an outlier as a probe is hedged without delay.
TimePoint Hedger::DueTime(const ShardRun& shard, Duration delay) {
  TimePoint due = shard.probing ? shard.sent_at : shard.sent_at + delay;
  return std::max(due, shard.next_hedge_at);
}

bool Hedger::IsCandidate(const ShardRun& shard) const {
  return shard.phase == ShardPhase::kInFlight && shard.in_flight_count() == 1 &&
         shard.attempts < context_.options.max_attempts;
}

void Hedger::OnProgress(const QueryRunPtr& run) {
  if (!run->spec->idempotent || !run->spec->hedge || run->finished ||
      run->unsettled == 0 || run->hedge_timer != TimerId() ||
      !HasMostAnswers(*run))
    return;
  ScheduleHedges(run);
}

void Hedger::ScheduleHedges(const QueryRunPtr& run) {
  std::optional<Duration> delay =
      context_.router.HedgeDelay(run->service->name);
  if (!delay)
    return;
  TimePoint due = run->cutoff;
  for (const ShardRun& shard : run->shards) {
    if (IsCandidate(shard))
      due = std::min(due, DueTime(shard, *delay));
  }
  if (due >= run->cutoff)
    return;
  std::weak_ptr<QueryRun> weak = run;
  run->hedge_timer = context_.timers.ScheduleAt(due, [this, weak] {
    QueryRunPtr locked = weak.lock();
    if (locked && !locked->finished)
      SendDueHedges(locked);
  });
}

void Hedger::SendDueHedges(const QueryRunPtr& run) {
  run->hedge_timer = TimerId();
  TimePoint now = context_.timers.Now();
  std::optional<Duration> delay =
      context_.router.HedgeDelay(run->service->name);
  if (!delay || now >= run->cutoff)
    return;
  for (std::size_t n = 0; n < run->shards.size(); ++n) {
    ShardRun& shard = run->shards[n];
    bool is_due = IsCandidate(shard) && DueTime(shard, *delay) <= now;
    if (is_due && !TryHedge(run, n))
      shard.next_hedge_at =
          now + std::max(*delay, context_.options.initial_backoff);
  }
  OnProgress(run);
}

bool Hedger::TryHedge(const QueryRunPtr& run, std::size_t shard) {
  ShardRun& state = run->shards[shard];
  AttemptId in_flight =
      state.in_flight[state.in_flight[0] == AttemptId() ? 1 : 0];
  ReplicaRequest request;
  request.service = run->service->name;
  request.map_version = run->map->version();
  request.shard = run->IdOfShard(shard);
  request.index_version = run->pinned_version;
  request.tried = state.tried;
  request.tried.push_back(sender_.SearcherOf(in_flight));
  if (!context_.transport.HasCapacityFor(1))
    return false;
  ReplicaChoice choice = context_.router.ChooseReplica(request);
  // Only the slow replica can serve this version; later queries should prefer
  // another one.
  if (choice.status == ReplicaChoiceStatus::kNoReplica ||
      choice.status == ReplicaChoiceStatus::kVersionUnavailable)
    snapshots_.SuspectVersion(*run);
  if (choice.status != ReplicaChoiceStatus::kChosen ||
      choice.searcher == request.tried.back() ||
      !context_.router.TryTakeRetryToken(run->service->name))
    return false;
  sender_.Send(run, shard, choice.searcher, true);
  return true;
}

}  // namespace jujubecove
