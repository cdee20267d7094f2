#include "dispatch/request_run.h"

#include <algorithm>
#include <utility>

namespace jujubecove {

PooledSearcherPtr RemoveInFlight(std::vector<LaunchedAttempt>& in_flight,
                                 AttemptId id) {
  auto it =
      std::find_if(in_flight.begin(), in_flight.end(),
                   [id](const LaunchedAttempt& it) { return it.id == id; });
  if (it == in_flight.end())
    return nullptr;
  PooledSearcherPtr searcher = it->searcher;
  in_flight.erase(it);
  return searcher;
}

CallerAnswer RefusalWhileStopping() {
  CallerAnswer answer;
  answer.error = ErrorKind::kShuttingDown;
  answer.reason = kStoppingReason;
  // Other VMs can take it at once.
  answer.retry_after = Duration(0);
  return answer;
}

RequestRun::RequestRun(RunContext& context,
                       RoutedRequest routed,
                       AnswerHandler done)
    : context_(context), routed_(std::move(routed)), done_(std::move(done)) {
  const ForwardedRequest& request = *routed_.request;
  Duration wait =
      std::min(route().timeout, request.deadline.value_or(route().timeout));
  deadline_ = request.received + wait - context_.options.deadline_margin;
  // A caller that opened a connection has waited for one round trip more.
  int round_trips = request.on_new_connection ? 2 : 1;
  target_time_ = request.received + route().target_latency -
                 context_.options.caller_round_trip * round_trips;
}

void RequestRun::Begin() {
  if (now() < deadline_)
    Start();
  else
    Fail(ErrorKind::kDeadlineUnmeetable, "the deadline has passed");
}

void RequestRun::Abandon() {
  if (finished_)
    return;
  finished_ = true;
  context_.timers.Cancel(timer_);
  metrics().CountAbandoned(kind());
  Log("caller_left", DecisionPriority::kNotable)
      .Add("after_ms", now() - routed_.request->received);
  DetachAll(context_.options.abandoned_grace);
}

void RequestRun::RefuseIfNotRun() {
  if (finished_ || MayHaveRun())
    return;
  Finish(RefusalWhileStopping());
}

void RequestRun::EndNow() {
  RefuseIfNotRun();
  if (!finished_)
    AnswerNow(kStoppingReason);
}

void RequestRun::SetTimer(TimePoint when) {
  context_.timers.Cancel(timer_);
  std::weak_ptr<RequestRun> self = weak_from_this();
  timer_ = context_.timers.ScheduleAt(when, [self] {
    std::shared_ptr<RequestRun> run = self.lock();
    if (run && !run->finished_)
      run->OnTimer();
  });
}

void RequestRun::Finish(CallerAnswer answer) {
  if (finished_)
    return;
  finished_ = true;
  context_.timers.Cancel(timer_);
  Duration took = now() - routed_.request->received;
  bool late = now() > target_time_;
  metrics().CountAnswer(kind(), answer, took, late);
  bool typical = !answer.error && !late && answer.missing_parts == 0;
  DecisionLine line = Log("answered", typical ? DecisionPriority::kRoutine
                                              : DecisionPriority::kNotable);
  line.Add("took_ms", took).Add("target_ms", route().target_latency);
  if (answer.error)
    line.Add("error", NameOf(*answer.error)).Add("reason", answer.reason);
  else
    line.Add("status", answer.status);
  line.Add("deadline_ms", deadline_ - routed_.request->received);
  if (routed_.request->workspace)
    line.Add("workspace", routed_.request->workspace->value());
  Describe(line);
  if (!answer.part_proofs.empty()) {
    line.Add("parts", answer.part_proofs.size())
        .Add("missing", answer.missing_parts);
  }
  DetachAll(context_.options.answered_grace);
  AnswerHandler done = std::move(done_);
  done(std::move(answer));
}

void RequestRun::Fail(ErrorKind kind, std::string reason) {
  CallerAnswer answer;
  answer.error = kind;
  answer.reason = std::move(reason);
  Finish(std::move(answer));
}

void RequestRun::Refuse(ErrorKind kind,
                        std::string reason,
                        std::optional<Duration> wait) {
  CallerAnswer answer;
  answer.error = kind;
  answer.reason = std::move(reason);
  answer.retry_after = context_.retry_advice.Get(wait, deadline_ - now());
  Finish(std::move(answer));
}

LaunchedAttempt RequestRun::Launch(const PooledSearcherPtr& searcher,
                                   TimePoint reply_deadline,
                                   ReplyHandler done) {
  std::shared_ptr<RequestRun> self = shared_from_this();
  Duration reply_time =
      searcher->health.EstimateReplyTime(routed_.latency->typical());
  AttemptOptions attempt_options{
      deadline_, target_time_ - reply_time,
      std::min(reply_deadline, deadline_) - reply_time, route().idempotent,
      routed_.urgency};
  AttemptId id = context_.launcher.Launch(
      searcher, routed_.request, routed_.latency, attempt_options,
      [self, done = std::move(done)](AttemptId id, AttemptReply reply) {
        if (!self->finished_)
          done(id, std::move(reply));
      });
  return LaunchedAttempt{id, searcher};
}

bool RequestRun::IsAnyWritten(
    const std::vector<LaunchedAttempt>& in_flight) const {
  return std::any_of(in_flight.begin(), in_flight.end(),
                     [this](const LaunchedAttempt& it) {
                       return context_.launcher.IsWritten(it.id);
                     });
}

RouteKind RequestRun::kind() const {
  if (route().scatter)
    return RouteKind::kScatter;
  return route().idempotent ? RouteKind::kIdempotent
                            : RouteKind::kNonIdempotent;
}

bool RequestRun::TakeRetry(ServicePool& pool) {
  if (pool.budget().TryTakeRetry(now())) {
    metrics().CountRetry();
    return true;
  }
  metrics().CountBudgetDenied();
  Log("retry_denied", DecisionPriority::kNotable)
      .Add("service", pool.name().value())
      .Add("budget_left", pool.budget().available(now()));
  return false;
}

bool RequestRun::TakeHedge(ServicePool& pool) {
  bool taken = pool.budget().TryTakeHedge(now());
  if (taken)
    metrics().CountHedge();
  else
    metrics().CountBudgetDenied();
  return taken;
}

DecisionLine RequestRun::Log(std::string_view event,
                             DecisionPriority priority) {
  DecisionLine line(context_.log, LogCategory::kGather, priority, event, now());
  line.Add("request", routed_.request->id)
      .Add("route", route().name)
      .Add("config", routed_.table->version().value());
  return line;
}

}  // namespace jujubecove
