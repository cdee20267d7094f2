#include "dispatch/scatter_run.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "dispatch/top_records.h"

namespace jujubecove {
namespace {

// After a hedge was not possible, the next look at the shard.
constexpr Duration kHedgeRecheck = std::chrono::milliseconds(8);

}  // namespace

ScatterRun::ScatterRun(RunContext& context,
                       RunSubject subject,
                       const std::vector<PoolPtr>& pools,
                       AnswerHandler done)
    : RequestRun(context, std::move(subject), std::move(done)) {
  for (const PoolPtr& it : pools)
    shards_.push_back(Shard{.pool = it});
}

std::size_t ScatterRun::required() const {
  double share = route().scatter->min_shard_share;
  // A part is needed in any case; the tolerance covers shares such as 0.9
  // that have no exact binary form.
  constexpr double kTolerance = 1e-9;
  auto least = static_cast<std::size_t>(
      std::ceil(share * static_cast<double>(shards_.size()) - kTolerance));
  return std::max<std::size_t>(least, 1);
}

void ScatterRun::Start() {
  std::size_t available = 0;
  for (const Shard& it : shards_)
    available += it.pool->empty() ? 0 : 1;
  if (available < required()) {
    Fail(ErrorKind::kNoUpstream,
         "only " + std::to_string(available) + " of " +
             std::to_string(shards_.size()) + " shards have a searcher",
         true);
    return;
  }
  for (std::size_t n = 0; n < shards_.size(); ++n) {
    shards_[n].pool->budget().CountRequest(now());
    if (!LaunchNext(n)) {
      shards_[n].lost = true;
      shards_[n].last_failure = "no searcher";
      ++lost_;
    }
  }
  ScheduleWake();
}

TimePoint ScatterRun::UsefulUntil() const {
  bool spare = shards_.size() - lost_ > required();
  return spare && now() < target_time() ? target_time() : deadline();
}

bool ScatterRun::LaunchNext(std::size_t index) {
  Shard& shard = shards_[index];
  PooledSearcherPtr searcher = shard.pool->Select(
      shard.tried, *subject().latency, now(), context().random);
  if (!searcher)
    return false;
  shard.tried.push_back(searcher);
  ++shard.sent;
  shard.hedge_at =
      now() + subject().latency->HedgeDelay(context().options.hedge_quantile);
  shard.running.push_back(
      Launch(searcher, UsefulUntil(),
             [this, index](AttemptId attempt, AttemptReply reply) {
               OnReply(index, attempt, std::move(reply));
             }));
  return true;
}

void ScatterRun::OnReply(std::size_t index,
                         AttemptId attempt,
                         AttemptReply reply) {
  Shard& shard = shards_[index];
  PooledSearcherPtr searcher = TakeRunning(shard.running, attempt);
  if (!searcher)
    return;
  if (!IsProvenNotRun(reply.outcome))
    anything_sent_ = true;
  if (reply.outcome == AttemptResult::kNotSent) {
    --shard.sent;
    if (shard.sent > 0)
      shard.pool->budget().Return();
  }
  if (shard.answered)
    return;
  if (reply.outcome == AttemptResult::kSuccess) {
    AcceptPart(shard, *searcher, std::move(reply));
  } else {
    shard.last_failure = reply.failure;
    Log("part_failed", DecisionRank::kNotable)
        .Add("service", shard.pool->name().value())
        .Add("searcher", searcher->entry.id.value())
        .Add("status", reply.status)
        .Add("cause", reply.failure);
    if (shard.running.empty())
      RetryOrLose(index);
  }
  CheckProgress();
}

void ScatterRun::AcceptPart(Shard& shard,
                            const PooledSearcher& searcher,
                            AttemptReply reply) {
  shard.answered = true;
  shard.part = std::move(reply);
  last_part_searcher_ = searcher.entry.id.value();
  last_part_took_ = now() - subject().request->received;
  ++answered_;
  for (const RunningAttempt& it : shard.running)
    context().launcher.Detach(it.id, context().options.answered_grace);
  shard.running.clear();
}

void ScatterRun::RetryOrLose(std::size_t index) {
  Shard& shard = shards_[index];
  bool more = shard.sent < route().max_attempts && now() < deadline();
  // Nothing has arrived at the shard yet, so the next attempt is no repeat.
  bool is_first = shard.sent == 0;
  shard.budget_denied = more && !is_first && !TakeRetry(*shard.pool);
  if (more && !shard.budget_denied) {
    if (LaunchNext(index))
      return;
    if (!is_first)
      shard.pool->budget().Return();
  }
  shard.lost = true;
  ++lost_;
}

bool ScatterRun::IsHedgeDue(const Shard& shard) const {
  return !shard.answered && !shard.lost && shard.running.size() == 1 &&
         shard.sent < route().max_attempts;
}

void ScatterRun::Hedge(std::size_t index) {
  Shard& shard = shards_[index];
  shard.hedge_at = now() + kHedgeRecheck;
  if (!TakeHedge(*shard.pool))
    return;
  std::string slow = shard.tried.back()->entry.id.value();
  if (!LaunchNext(index)) {
    shard.pool->budget().Return();
    shard.hedge_at = TimePoint::max();
    return;
  }
  ++hedges_;
  Log("hedged", DecisionRank::kRoutine)
      .Add("service", shard.pool->name().value())
      .Add("slow", slow)
      .Add("searcher", shard.tried.back()->entry.id.value());
}

void ScatterRun::OnTimer() {
  if (now() >= deadline()) {
    if (answered_ >= required())
      AnswerWithParts();
    else
      FailShort("the deadline passed");
    return;
  }
  for (std::size_t n = 0; n < shards_.size(); ++n) {
    if (IsHedgeDue(shards_[n]) && now() >= shards_[n].hedge_at)
      Hedge(n);
  }
  CheckProgress();
  if (!finished())
    ScheduleWake();
}

void ScatterRun::ScheduleWake() {
  TimePoint next = deadline();
  if (now() < target_time())
    next = std::min(next, target_time());
  for (const Shard& it : shards_) {
    if (IsHedgeDue(it))
      next = std::min(next, it.hedge_at);
  }
  WakeAt(next);
}

void ScatterRun::CheckProgress() {
  if (finished())
    return;
  std::size_t pending = shards_.size() - answered_ - lost_;
  if (answered_ + pending < required()) {
    FailShort("too few shards can answer");
    return;
  }
  bool enough = answered_ >= required();
  if (pending == 0 || (enough && now() >= target_time()))
    AnswerWithParts();
}

void ScatterRun::AnswerWithParts() {
  CallerAnswer answer;
  answer.status = 200;
  std::vector<std::string_view> bodies;
  for (const Shard& it : shards_) {
    bool duplicate =
        std::find(answer.part_proofs.begin(), answer.part_proofs.end(),
                  it.part.proof) != answer.part_proofs.end();
    if (!it.answered || duplicate)
      continue;
    answer.part_proofs.push_back(it.part.proof);
    bodies.push_back(it.part.body);
  }
  if (answer.part_proofs.size() < required()) {
    FailShort("replies repeat a proof");
    return;
  }
  answer.missing_parts =
      static_cast<int>(shards_.size() - answer.part_proofs.size());
  answer.body = MergeTopRecords(bodies, route().scatter->top_records);
  for (const Shard& it : shards_) {
    if (it.answered)
      continue;
    MissingCause cause = it.tried.empty()   ? MissingCause::kNoSearcher
                         : it.budget_denied ? MissingCause::kBudgetSpent
                         : it.lost          ? MissingCause::kFailed
                                            : MissingCause::kNotInTime;
    metrics().CountMissing(cause);
    Log("part_missing", DecisionRank::kNotable)
        .Add("service", it.pool->name().value())
        .Add("attempts", it.tried.size())
        .Add("cause", NameOf(cause))
        .Add("last_failure", it.last_failure);
  }
  Finish(std::move(answer));
}

void ScatterRun::FailShort(const std::string& reason) {
  std::string text = reason + ": " + std::to_string(answered_) + " of " +
                     std::to_string(shards_.size()) + " parts, " +
                     std::to_string(required()) + " needed";
  bool deadline_passed = now() >= deadline();
  for (const Shard& it : shards_)
    anything_sent_ = anything_sent_ || !it.running.empty();
  if (!anything_sent_)
    Fail(ErrorKind::kOverloaded, text, true);
  else
    Fail(deadline_passed ? ErrorKind::kDeadlineExceeded
                         : ErrorKind::kShardsUnavailable,
         text, false);
}

void ScatterRun::Describe(DecisionLine& line) const {
  line.Add("hedges", hedges_)
      .Add("last_part_searcher", last_part_searcher_)
      .Add("last_part_ms", last_part_took_);
}

void ScatterRun::DetachAll(Duration grace) {
  for (Shard& shard : shards_) {
    for (const RunningAttempt& it : shard.running)
      context().launcher.Detach(it.id, grace);
    shard.running.clear();
  }
}

}  // namespace jujubecove
