#include "gather/query_engine_impl.h"

#include <algorithm>
#include <optional>
#include <string>
#include <utility>

#include "gather/answer_builder.h"

namespace jujubecove {

QueryEngineImpl::QueryEngineImpl(const EngineDependencies& dependencies,
                                 const EngineOptions& options,
                                 std::uint64_t seed)
    : admission_(dependencies.admission),
      context_{dependencies.timers,
               dependencies.router,
               dependencies.transport,
               dependencies.trace,
               options,
               RandomEngine(seed)},
      fan_out_(context_, [this](const QueryRunPtr& run) { Finish(run); }) {
  admission_.SetHandlers([this](RequestId request) { OnAdmitted(request); },
                         [this](RequestId request, ErrorKind error) {
                           OnRefused(request, error);
                         });
  context_.transport.SetReplyHandler(
      [this](UpstreamReply reply) { fan_out_.HandleReply(std::move(reply)); });
}

void QueryEngineImpl::SetDocument(std::shared_ptr<const Document> document) {
  document_ = std::move(document);
}

void QueryEngineImpl::Submit(QueryRequest request, AnswerHandler handler) {
  QueryRunPtr run = MakeRun(std::move(request), std::move(handler));
  if (run->error) {
    run->finished = true;
    QueryAnswer answer = BuildAnswer(*run);
    run->handler(std::move(answer));
    return;
  }
  SetCutoff(*run);
  queries_.emplace(run->request.id, run);
  if (context_.timers.Now() >= run->cutoff) {
    Refuse(run, ErrorKind::kDeadlineUnmeetable);
    return;
  }
  std::weak_ptr<QueryRun> weak = run;
  run->cutoff_timer = context_.timers.ScheduleAt(run->cutoff, [this, weak] {
    QueryRunPtr locked = weak.lock();
    if (locked && !locked->finished)
      OnCutoff(locked);
  });
  OfferWhenSnapshotAvailable(run);
}

QueryRunPtr QueryEngineImpl::MakeRun(QueryRequest request,
                                     AnswerHandler handler) {
  QueryRunPtr run = std::make_shared<QueryRun>();
  run->request = std::move(request);
  run->handler = std::move(handler);
  run->document = document_;
  run->submitted_at = context_.timers.Now();
  InitTrace(*run);
  if (!document_) {
    run->error = ErrorKind::kNotReady;
    return run;
  }
  auto it = document_->kinds.find(run->request.kind);
  if (it == document_->kinds.end()) {
    run->error = ErrorKind::kUnknownKind;
    return run;
  }
  run->spec = &it->second;
  if (queries_.count(run->request.id) != 0) {
    run->error = ErrorKind::kInternal;
    run->detail = "the request number is in use";
    return run;
  }
  run->service = &fan_out_.StateOfService(run->spec->service);
  run->body = std::make_shared<const std::string>(std::move(run->request.body));
  return run;
}

void QueryEngineImpl::SetCutoff(QueryRun& run) {
  const EngineOptions& options = context_.options;
  Duration limit = std::min(run.request.deadline.value_or(run.spec->deadline),
                            run.spec->deadline);
  Duration share(static_cast<Duration::rep>(static_cast<double>(limit.count()) *
                                            options.merge_margin_share));
  Duration margin =
      std::clamp(share, options.min_merge_margin, options.max_merge_margin);
  run.cutoff = run.submitted_at + limit - margin;
}

// A query waits for a common version before it is offered to admission. If it
// waited after it was admitted, a rollout without a common version would fill
// up the in-flight limit with waiting queries, and admission would mistake
// their waiting time for a slow service.
void QueryEngineImpl::OfferWhenSnapshotAvailable(const QueryRunPtr& run) {
  const ServiceName& service = run->spec->service;
  bool can_offer = !run->spec->snapshot ||
                   context_.router.CurrentMap(service) == nullptr ||
                   context_.router.PickSnapshot(service, {}).has_value();
  if (can_offer) {
    run->pin_backoff_count = 0;
    Offer(run);
    return;
  }
  Duration delay = JitteredBackoff(context_.options, run->pin_backoff_count++,
                                   context_.random);
  Duration needed = context_.router.EstimatedLatency(service);
  if (context_.timers.Now() + delay + needed >= run->cutoff) {
    Refuse(run, ErrorKind::kSnapshotUnavailable, GapCause::kVersionUnavailable);
    return;
  }
  std::weak_ptr<QueryRun> weak = run;
  run->pin_timer = context_.timers.ScheduleAfter(delay, [this, weak] {
    QueryRunPtr locked = weak.lock();
    if (locked && !locked->finished)
      OfferWhenSnapshotAvailable(locked);
  });
}

void QueryEngineImpl::Offer(const QueryRunPtr& run) {
  AdmissionRequest admission_request;
  admission_request.request = run->request.id;
  admission_request.service = run->spec->service;
  admission_request.caller = run->request.caller;
  admission_request.urgency = run->spec->urgency;
  admission_request.deadline = run->cutoff;
  admission_request.expected_duration =
      context_.router.EstimatedLatency(run->spec->service);
  admission_.Offer(admission_request);
}

void QueryEngineImpl::OnAdmitted(RequestId request) {
  auto it = queries_.find(request);
  if (it == queries_.end())
    return;
  it->second->admitted = true;
  it->second->admitted_at = context_.timers.Now();
  admitted_.push_back(it->second);
  StartAdmitted();
}

void QueryEngineImpl::StartAdmitted() {
  if (is_starting_)
    return;
  is_starting_ = true;
  while (!admitted_.empty()) {
    QueryRunPtr run = std::move(admitted_.front());
    admitted_.pop_front();
    if (run->finished)
      continue;
    EmitQueueSpan(*run);
    if (context_.timers.Now() >= run->cutoff)
      Refuse(run, ErrorKind::kDeadlineUnmeetable);
    else
      fan_out_.Start(run);
  }
  is_starting_ = false;
}

void QueryEngineImpl::OnRefused(RequestId request, ErrorKind error) {
  auto it = queries_.find(request);
  if (it != queries_.end())
    Refuse(QueryRunPtr(it->second), error);
}

// Finishes a query of which nothing was sent. Its coverage refers to the map
// that it would have used.
void QueryEngineImpl::Refuse(const QueryRunPtr& run,
                             ErrorKind error,
                             GapCause cause) {
  run->error = error;
  std::shared_ptr<const ShardMap> map =
      context_.router.CurrentMap(run->spec->service);
  if (map) {
    run->Reset(map, std::nullopt, context_.options.max_result_bytes);
    for (std::size_t n = 0; n < run->shards.size(); ++n)
      run->SetGap(n, cause);
  }
  Finish(run);
}

void QueryEngineImpl::OnCutoff(const QueryRunPtr& run) {
  if (run->admitted && run->map) {
    fan_out_.Stop(run);
    return;
  }
  run->cutoff_passed = true;
  if (!run->admitted)
    admission_.CancelQueued(run->request.id);
  Refuse(run, ErrorKind::kDeadlineUnmeetable);
}

void QueryEngineImpl::Abandon(RequestId request) {
  auto it = queries_.find(request);
  if (it == queries_.end())
    return;
  QueryRunPtr run = it->second;
  if (run->admitted && !run->spec->idempotent && run->sent > 0)
    return;
  run->detail = "the caller went away";
  if (run->admitted && run->map) {
    fan_out_.Stop(run);
    return;
  }
  if (!run->admitted)
    admission_.CancelQueued(request);
  Refuse(run, ErrorKind::kDeadlineUnmeetable);
}

void QueryEngineImpl::Finish(const QueryRunPtr& run_reference) {
  // The reference may point into `queries_`, which is changed below.
  QueryRunPtr run = run_reference;
  run->finished = true;
  context_.timers.Cancel(run->cutoff_timer);
  fan_out_.CancelOutstanding(*run);
  queries_.erase(run->request.id);
  if (run->admitted) {
    AdmissionFeedback feedback;
    feedback.duration = context_.timers.Now() - run->admitted_at;
    feedback.attempts = run->sent;
    feedback.refused = run->refused;
    feedback.met_deadline = !run->cutoff_passed;
    admission_.OnQueryFinished(run->request.id, feedback);
  }
  QueryAnswer answer = BuildAnswer(*run);
  EmitQuerySpan(*run, answer);
  // Free the results now: cancelled attempts may keep the run alive until their
  // replies arrive.
  run->merger.reset();
  AnswerHandler handler = std::move(run->handler);
  handler(std::move(answer));
}

void QueryEngineImpl::InitTrace(QueryRun& run) {
  run.trace = ContextFromTraceparent(run.request.traceparent, context_.random);
  run.query_span = RandomSpanId(context_.random);
  SpanContext own = run.trace;
  own.span_id = run.query_span;
  run.traceparent = own.ToTraceparent();
  run.traced =
      context_.trace != nullptr && context_.trace->ShouldRecord(run.trace);
}

void QueryEngineImpl::EmitQueueSpan(const QueryRun& run) {
  if (!run.traced)
    return;
  SpanRecord record;
  record.context.span_id = RandomSpanId(context_.random);
  record.parent = run.query_span;
  record.name = "queue";
  record.start = run.submitted_at;
  Emit(run, std::move(record), "admitted");
}

void QueryEngineImpl::EmitQuerySpan(const QueryRun& run,
                                    const QueryAnswer& answer) {
  if (!run.traced)
    return;
  SpanRecord record;
  record.context.span_id = run.query_span;
  if (run.trace.span_id != SpanId{})
    record.parent = run.trace.span_id;
  record.name = "query";
  record.start = run.submitted_at;
  Emit(run, std::move(record),
       answer.error ? NameOf(*answer.error) : std::string_view("answered"));
}

void QueryEngineImpl::Emit(const QueryRun& run,
                           SpanRecord record,
                           std::string_view status) {
  record.context.trace_id = run.trace.trace_id;
  record.context.sampled = run.trace.sampled;
  record.end = context_.timers.Now();
  record.attributes = {{"kind", run.request.kind.value()},
                       {"caller", run.request.caller.value()},
                       {"status", std::string(status)}};
  context_.trace->Emit(std::move(record));
}

}  // namespace jujubecove
