#include "gather/hedger.h"

#include <algorithm>
#include <memory>
#include <optional>
#include <utility>

namespace jujubecove {
namespace {

// Three quarters of the shards that can still answer, or all but one of them,
// because a query of fewer than four shards could never meet the former.
bool HasMostAnswers(const QueryRun& run) {
  std::size_t expected = run.covered + run.unsettled;
  return run.covered * 4 >= expected * 3 || run.covered + 1 >= expected;
}

}  // namespace

Hedger::Hedger(GatherContext& context,
               AttemptSender& sender,
               SnapshotPolicy& snapshots)
    : context_(context), sender_(sender), snapshots_(snapshots) {}

// A shard that was risked on an outlier need not wait.
TimePoint Hedger::DueTime(const ShardRun& shard, Duration delay) {
  TimePoint due = shard.probing ? shard.sent_at : shard.sent_at + delay;
  return std::max(due, shard.next_hedge);
}

bool Hedger::IsCandidate(const ShardRun& shard) const {
  return shard.phase == ShardPhase::kInFlight && shard.open_count() == 1 &&
         shard.attempts < context_.options.max_attempts;
}

void Hedger::OnProgress(const QueryRunPtr& run) {
  if (!run->spec->idempotent || !run->spec->hedge || run->finished ||
      run->unsettled == 0 || run->hedge_timer != TimerId() ||
      !HasMostAnswers(*run))
    return;
  Arm(run);
}

void Hedger::Arm(const QueryRunPtr& run) {
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
      Fire(locked);
  });
}

void Hedger::Fire(const QueryRunPtr& run) {
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
      shard.next_hedge = now + std::max(*delay, context_.options.first_delay);
  }
  OnProgress(run);
}

bool Hedger::TryHedge(const QueryRunPtr& run, std::size_t shard) {
  ShardRun& state = run->shards[shard];
  AttemptId open = state.open[state.open[0] == AttemptId() ? 1 : 0];
  ReplicaRequest request;
  request.service = run->service->name;
  request.map_version = run->map->version();
  request.shard = run->IdOfShard(shard);
  request.index_version = run->pinned;
  request.tried = state.tried;
  request.tried.push_back(sender_.SearcherOf(open));
  if (!context_.transport.HasRoomFor(1))
    return false;
  ReplicaChoice choice = context_.router.ChooseReplica(request);
  // Nobody else holds the version that a slow replica is asked for.
  if (choice.status == ReplicaChoiceStatus::kNoReplica ||
      choice.status == ReplicaChoiceStatus::kVersionUnavailable)
    snapshots_.Suspect(*run);
  if (choice.status != ReplicaChoiceStatus::kChosen ||
      choice.searcher == request.tried.back() ||
      !context_.router.TryTakeRetryToken(run->service->name))
    return false;
  sender_.Send(run, shard, choice.searcher, true);
  return true;
}

}  // namespace jujubecove
