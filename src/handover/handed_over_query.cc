#include "handover/handed_over_query.h"

#include <algorithm>
#include <utility>

namespace jujubecove {
namespace {

// A query that waits for a connection for longer than this share of its target
// runs here instead.
constexpr int kWriteTimeTargetDivisor = 4;
constexpr Duration kMinWriteTime = std::chrono::milliseconds(10);

}  // namespace

HandedOverQuery::HandedOverQuery(HandoverContext& context,
                                 ForwardedRequestPtr request,
                                 HandoverQuery query,
                                 HandoverChoice choice,
                                 SearcherEntry peer,
                                 AnswerHandler done)
    : context_(context),
      request_(std::move(request)),
      query_(std::move(query)),
      choice_(std::move(choice)),
      peer_(std::move(peer)),
      done_(std::move(done)),
      started_(context.timers.Now()) {}

void HandedOverQuery::Begin(AttemptId attempt) {
  attempt_ = attempt;
  in_flight_ = true;
  TimePoint write_by =
      started_ +
      std::max(query_.target / kWriteTimeTargetDivisor, kMinWriteTime);
  TimePoint give_up =
      HandoverPolicy::GiveUpTime(query_, choice_, request_->received, started_);
  std::weak_ptr<HandedOverQuery> weak = weak_from_this();
  timer_ = context_.timers.ScheduleAt(give_up, [weak] {
    if (std::shared_ptr<HandedOverQuery> self = weak.lock())
      self->GiveUp();
  });
  std::shared_ptr<HandedOverQuery> self = shared_from_this();
  context_.transport.Send(
      attempt_, peer_,
      ToHandoverRequest(*request_, query_.version, choice_.hop / 2, started_),
      {give_up, write_by, write_by, true},
      [self](AttemptReply reply) { self->OnReply(std::move(reply)); });
}

void HandedOverQuery::OnReply(AttemptReply reply) {
  if (!in_flight_)
    return;
  in_flight_ = false;
  context_.timers.Cancel(timer_);
  AttemptResult outcome = reply.outcome;
  if (outcome == AttemptResult::kNotSent) {
    if (reply.connect_failed)
      context_.policy.OnFailure(choice_.vm, now());
    RunHere(HandoverResult::kNotSent, reply.failure);
    return;
  }
  if (outcome == AttemptResult::kBroken) {
    context_.policy.OnFailure(choice_.vm, now());
    Fail(HandoverResult::kBroken, ErrorKind::kOutcomeUnknown,
         "the VM that ran the query failed: " + reply.failure);
    return;
  }
  OnAnswer(ToHandoverReply(std::move(reply), query_.route));
}

void HandedOverQuery::OnAnswer(HandoverReply reply) {
  // A receiver that stops refuses what it has not sent to searchers yet.
  if (reply.answer.error == ErrorKind::kShuttingDown)
    reply.refusal = reply.answer.reason;
  if (!reply.refusal.empty()) {
    context_.policy.OnRefusal(choice_.vm, reply.report, now());
    RunHere(HandoverResult::kRefused, reply.refusal);
    return;
  }
  context_.policy.OnAnswer(choice_.vm, reply.report, now() - started_,
                           reply.ran, now());
  context_.metrics.CountHandedOver(HandoverResult::kAnswered);
  Log("handed_over", DecisionPriority::kRoutine)
      .Add("took_ms", now() - request_->received)
      .Add("ran_ms", reply.ran);
  Finish(std::move(reply.answer));
}

void HandedOverQuery::RunHere(HandoverResult result,
                              const std::string& reason) {
  context_.metrics.CountHandedOver(result);
  Log("handover_returned", DecisionPriority::kNotable)
      .Add("result", NameOf(result))
      .Add("reason", reason);
  std::shared_ptr<HandedOverQuery> self = shared_from_this();
  std::shared_ptr<PendingRequest> run =
      context_.runs.Submit(request_, [self](CallerAnswer answer) {
        self->run_ = nullptr;
        self->Finish(std::move(answer));
      });
  if (!finished_)
    run_ = std::move(run);
}

bool HandedOverQuery::Cancel(HandoverResult result) {
  in_flight_ = false;
  context_.timers.Cancel(timer_);
  context_.metrics.CountHandedOver(result);
  return context_.transport.Cancel(attempt_);
}

// The receiver notices that its connection closes and stops its attempts.
void HandedOverQuery::GiveUp() {
  if (!in_flight_)
    return;
  context_.policy.OnFailure(choice_.vm, now());
  bool written = context_.transport.Cancel(attempt_);
  in_flight_ = false;
  context_.reset_connections(peer_);
  if (written)
    Fail(HandoverResult::kSilent, ErrorKind::kDeadlineExceeded,
         "the VM that ran the query did not answer in time");
  else
    RunHere(HandoverResult::kNotSent, "no connection in time");
}

void HandedOverQuery::Fail(HandoverResult result,
                           ErrorKind kind,
                           const std::string& reason) {
  context_.metrics.CountHandedOver(result);
  Log("handover_failed", DecisionPriority::kNotable)
      .Add("result", NameOf(result))
      .Add("after_ms", now() - request_->received)
      .Add("reason", reason);
  CallerAnswer answer;
  answer.error = kind;
  answer.reason = reason;
  Finish(std::move(answer));
}

void HandedOverQuery::Finish(CallerAnswer answer) {
  if (finished_)
    return;
  finished_ = true;
  AnswerHandler done = std::move(done_);
  done(std::move(answer));
}

void HandedOverQuery::Abandon() {
  if (finished_)
    return;
  finished_ = true;
  if (in_flight_)
    Cancel(HandoverResult::kAbandoned);
  else if (run_)
    run_->Abandon();
  run_ = nullptr;
}

void HandedOverQuery::RefuseIfNotRun() {
  if (finished_)
    return;
  if (std::shared_ptr<PendingRequest> run = run_) {
    run->RefuseIfNotRun();
    return;
  }
  if (!in_flight_ || context_.transport.IsWritten(attempt_))
    return;
  Cancel(HandoverResult::kNotSent);
  Finish(RefusalWhileStopping());
}

void HandedOverQuery::EndNow() {
  RefuseIfNotRun();
  if (finished_)
    return;
  if (std::shared_ptr<PendingRequest> run = run_) {
    run->EndNow();
    return;
  }
  Cancel(HandoverResult::kBroken);
  CallerAnswer answer;
  answer.error = ErrorKind::kOutcomeUnknown;
  answer.reason = kStoppingReason;
  Finish(std::move(answer));
}

DecisionLine HandedOverQuery::Log(std::string_view event,
                                  DecisionPriority priority) const {
  DecisionLine line(context_.log, LogCategory::kGather, priority, event, now());
  line.Add("request", request_->id)
      .Add("route", query_.route)
      .Add("peer", choice_.vm.value())
      .Add("expected_there_ms", choice_.there)
      .Add("expected_here_ms", choice_.here);
  return line;
}

}  // namespace jujubecove
