#include "dispatch/scatter_run.h"

#include <algorithm>
#include <utility>

#include "dispatch/top_records.h"

namespace jujubecove {
namespace {

// Delay until the next try after the budget denied a hedge.
constexpr Duration kHedgeRetryInterval = std::chrono::milliseconds(8);
// Longer than a pause of a searcher. Attempts in flight then count as overdue
// if they usually take a fraction of it.
constexpr Duration kOverdueCheckDelay = std::chrono::milliseconds(260);
// A part that is larger than the records of an answer by this factor is reduced
// to them while the other parts are awaited.
constexpr std::size_t kTrimmedPartFactor = 8;

}  // namespace

ScatterRun::ScatterRun(RunContext& context,
                       RoutedRequest routed,
                       const std::vector<PoolPtr>& pools,
                       AnswerHandler done)
    : RequestRun(context, std::move(routed), std::move(done)) {
  for (const PoolPtr& it : pools)
    shards_.push_back(Shard{.pool = it});
}

std::size_t ScatterRun::required() const {
  return route().scatter->RequiredShards();
}

// The time until as many shards as the answer needs have an available searcher.
// Nothing if too few shards have any searcher.
std::optional<Duration> ScatterRun::WaitForRequiredShards() const {
  std::vector<Duration> waits;
  for (const Shard& it : shards_) {
    if (std::optional<Duration> wait =
            it.pool->WaitUntilAvailable(now(), limit()))
      waits.push_back(*wait);
  }
  if (waits.size() < required())
    return std::nullopt;
  auto last = waits.begin() + static_cast<std::ptrdiff_t>(required() - 1);
  std::nth_element(waits.begin(), last, waits.end());
  return *last;
}

std::size_t ScatterRun::CountReachable() const {
  return static_cast<std::size_t>(std::count_if(
      shards_.begin(), shards_.end(),
      [this](const Shard& it) { return it.pool->HasReachable(limit()); }));
}

void ScatterRun::RefuseForLackOfShards(std::optional<Duration> wait) {
  auto is_available = [this](const Shard& it) {
    return it.pool->WaitUntilAvailable(now(), limit()) == Duration(0);
  };
  auto available = std::count_if(shards_.begin(), shards_.end(), is_available);
  auto lacking = std::find_if_not(shards_.begin(), shards_.end(), is_available);
  Refuse(ErrorKind::kNoUpstream,
         "only " + std::to_string(available) + " of " +
             std::to_string(shards_.size()) + " shards have a searcher" +
             (wait ? " that accepts requests" : "") +
             (lacking == shards_.end()
                  ? ""
                  : ": " + lacking->pool->ReasonForNone(limit())),
         wait);
}

void ScatterRun::Start() {
  std::optional<Duration> wait = WaitForRequiredShards();
  if (context().zones.IsIsolated() && CountReachable() < required()) {
    Refuse(ErrorKind::kNoUpstream, kIsolatedReason, kFailoverTime);
    return;
  }
  if (wait != Duration(0)) {
    RefuseForLackOfShards(wait);
    return;
  }
  overdue_check_at_ = now() + kOverdueCheckDelay;
  for (std::size_t n = 0; n < shards_.size(); ++n) {
    shards_[n].pool->budget().CountRequest(now());
    if (!LaunchNext(n)) {
      shards_[n].failed = true;
      shards_[n].last_failure = "no searcher";
      ++failed_shards_;
    }
  }
  UpdateTimer();
}

TimePoint ScatterRun::PartDeadline() const {
  bool part_is_optional = shards_.size() - failed_shards_ > required();
  return part_is_optional && now() < target_time() ? target_time() : deadline();
}

bool ScatterRun::LaunchNext(std::size_t index) {
  Shard& shard = shards_[index];
  PooledSearcherPtr searcher = shard.pool->Select(
      shard.tried, *routed().latency, now(), context().random, limit());
  if (!searcher)
    return false;
  shard.tried.push_back(searcher);
  ++shard.sent;
  shard.hedge_at =
      now() + routed().latency->HedgeDelay(context().options.hedge_quantile);
  shard.in_flight.push_back(
      Launch(searcher, PartDeadline(),
             [this, index](AttemptId attempt, AttemptReply reply) {
               OnReply(index, attempt, std::move(reply));
             }));
  return true;
}

void ScatterRun::OnReply(std::size_t index,
                         AttemptId attempt,
                         AttemptReply reply) {
  Shard& shard = shards_[index];
  PooledSearcherPtr searcher = RemoveInFlight(shard.in_flight, attempt);
  if (!searcher)
    return;
  if (!IsKnownNotRun(reply.outcome))
    may_have_run_ = true;
  if (reply.outcome == AttemptResult::kNotSent) {
    --shard.sent;
    if (shard.sent > 0)
      shard.pool->budget().Refund();
  }
  if (shard.answered)
    return;
  if (reply.outcome == AttemptResult::kSuccess) {
    AcceptPart(shard, *searcher, std::move(reply));
  } else {
    shard.last_failure = reply.failure;
    Log("part_failed", DecisionPriority::kNotable)
        .Add("service", shard.pool->name().value())
        .Add("searcher", searcher->entry.id.value())
        .Add("status", reply.status)
        .Add("cause", reply.failure);
    if (shard.in_flight.empty())
      RetryOrMarkFailed(index);
  }
  FinishIfDecided();
}

void ScatterRun::AcceptPart(Shard& shard,
                            const PooledSearcher& searcher,
                            AttemptReply reply) {
  shard.answered = true;
  shard.part = std::move(reply);
  // Keeps only the records that can be in the answer.
  std::size_t top_bytes = route().scatter->top_records * kRecordBytes;
  if (shard.part.body.size() > kTrimmedPartFactor * top_bytes) {
    shard.part.body =
        MergeTopRecords({shard.part.body}, route().scatter->top_records);
  }
  last_part_searcher_ = searcher.entry.id.value();
  last_part_took_ = now() - routed().request->received;
  ++answered_shards_;
  for (const LaunchedAttempt& it : shard.in_flight)
    context().launcher.Detach(it.id, context().options.answered_grace);
  shard.in_flight.clear();
}

void ScatterRun::RetryOrMarkFailed(std::size_t index) {
  Shard& shard = shards_[index];
  bool may_retry = shard.sent < route().max_attempts && now() < deadline();
  // If no attempt was written yet, the next one counts as the first.
  bool is_first = shard.sent == 0;
  shard.budget_denied = may_retry && !is_first && !TakeRetry(*shard.pool);
  if (may_retry && !shard.budget_denied) {
    if (LaunchNext(index))
      return;
    if (!is_first)
      shard.pool->budget().Refund();
  }
  shard.failed = true;
  ++failed_shards_;
}

bool ScatterRun::MayHedge(const Shard& shard) const {
  return !shard.answered && !shard.failed && shard.in_flight.size() == 1 &&
         shard.sent < route().max_attempts;
}

void ScatterRun::Hedge(std::size_t index) {
  Shard& shard = shards_[index];
  shard.hedge_at = now() + kHedgeRetryInterval;
  if (!TakeHedge(*shard.pool))
    return;
  std::string slow = shard.tried.back()->entry.id.value();
  if (!LaunchNext(index)) {
    shard.pool->budget().Refund();
    shard.hedge_at = TimePoint::max();
    return;
  }
  ++hedges_;
  Log("hedged", DecisionPriority::kRoutine)
      .Add("service", shard.pool->name().value())
      .Add("slow", slow)
      .Add("searcher", shard.tried.back()->entry.id.value());
}

void ScatterRun::OnTimer() {
  if (now() >= deadline()) {
    AnswerNow("the deadline passed");
    return;
  }
  CheckOverdue();
  for (std::size_t n = 0; n < shards_.size(); ++n) {
    if (MayHedge(shards_[n]) && now() >= shards_[n].hedge_at)
      Hedge(n);
  }
  FinishIfDecided();
  if (!finished())
    UpdateTimer();
}

bool ScatterRun::MayHaveRun() const {
  return may_have_run_ ||
         std::any_of(shards_.begin(), shards_.end(), [this](const Shard& it) {
           return IsAnyWritten(it.in_flight);
         });
}

void ScatterRun::AnswerNow(const std::string& reason) {
  if (answered_shards_ >= required())
    AnswerWithParts();
  else
    FailWithTooFewParts(reason);
}

void ScatterRun::CheckOverdue() {
  if (now() < overdue_check_at_ || overdue_check_at_ == TimePoint{})
    return;
  overdue_check_at_ = TimePoint{};
  for (const Shard& shard : shards_) {
    for (const LaunchedAttempt& it : shard.in_flight)
      context().launcher.ReportIfOverdue(it.id);
  }
}

void ScatterRun::UpdateTimer() {
  TimePoint next = deadline();
  if (now() < target_time())
    next = std::min(next, target_time());
  if (now() < overdue_check_at_)
    next = std::min(next, overdue_check_at_);
  for (const Shard& it : shards_) {
    if (MayHedge(it))
      next = std::min(next, it.hedge_at);
  }
  SetTimer(next);
}

void ScatterRun::FinishIfDecided() {
  if (finished())
    return;
  std::size_t pending = shards_.size() - answered_shards_ - failed_shards_;
  if (answered_shards_ + pending < required()) {
    FailWithTooFewParts("too few shards can answer");
    return;
  }
  bool enough = answered_shards_ >= required();
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
    FailWithTooFewParts("replies repeat a proof");
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
                         : it.failed        ? MissingCause::kFailed
                                            : MissingCause::kNotInTime;
    metrics().CountMissingPart(cause);
    Log("part_missing", DecisionPriority::kNotable)
        .Add("service", it.pool->name().value())
        .Add("attempts", it.tried.size())
        .Add("cause", NameOf(cause))
        .Add("last_failure", it.last_failure);
  }
  Finish(std::move(answer));
}

void ScatterRun::FailWithTooFewParts(const std::string& reason) {
  std::string text = reason + ": " + std::to_string(answered_shards_) + " of " +
                     std::to_string(shards_.size()) + " parts, " +
                     std::to_string(required()) + " needed";
  bool deadline_passed = now() >= deadline();
  for (const Shard& it : shards_)
    may_have_run_ = may_have_run_ || !it.in_flight.empty();
  if (!may_have_run_)
    Refuse(ErrorKind::kOverloaded, text, WaitForRequiredShards());
  else
    Fail(deadline_passed ? ErrorKind::kDeadlineExceeded
                         : ErrorKind::kShardsUnavailable,
         text);
}

void ScatterRun::Describe(DecisionLine& line) const {
  line.Add("hedges", hedges_)
      .Add("last_part_searcher", last_part_searcher_)
      .Add("last_part_ms", last_part_took_);
}

void ScatterRun::DetachAll(Duration grace) {
  for (Shard& shard : shards_) {
    for (const LaunchedAttempt& it : shard.in_flight)
      context().launcher.Detach(it.id, grace);
    shard.in_flight.clear();
  }
}

}  // namespace jujubecove
