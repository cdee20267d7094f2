#include "gather/attempt_sender.h"

#include <string>
#include <utility>

namespace jujubecove {
namespace {

constexpr std::size_t kExpectedAttempts = 4'096;

}  // namespace

bool InFlightAttempt::IsCurrent() const {
  return !run->finished && run->restarts == epoch &&
         !run->shards[shard].settled();
}

AttemptSender::AttemptSender(GatherContext& context) : context_(context) {
  attempts_.reserve(kExpectedAttempts);
}

UpstreamRequest AttemptSender::MakeRequest(const QueryRun& run,
                                           std::size_t shard,
                                           const SearcherId& searcher,
                                           const SpanId& span) {
  UpstreamRequest request;
  request.attempt = AttemptId(++last_attempt_);
  request.request = run.request.id;
  request.searcher = searcher;
  request.kind = run.spec->name;
  request.shard = run.IdOfShard(shard);
  request.map_version = run.map->version();
  request.index_version = run.pinned_version;
  request.deadline = run.cutoff;
  request.idempotent = run.spec->idempotent;
  // Searchers treat a request with a key as non-idempotent.
  if (!request.idempotent)
    request.idempotency_key = run.request.idempotency_key;
  request.traceparent = WithSpanId(run.traceparent, span);
  request.body = run.body;
  return request;
}

void AttemptSender::Send(const QueryRunPtr& run,
                         std::size_t shard,
                         const SearcherId& searcher,
                         bool is_hedge) {
  ShardRun& state = run->shards[shard];
  SpanId span = RandomSpanId(context_.random);
  UpstreamRequest request = MakeRequest(*run, shard, searcher, span);
  TimePoint now = context_.timers.Now();
  bool is_first = run->restarts == 0 && state.attempts == 0;
  if (!is_hedge)
    state.sent_at = now;
  state.phase = ShardPhase::kInFlight;
  state.AddAttempt(request.attempt);
  ++state.attempts;
  ++run->sent;
  attempts_.emplace(
      request.attempt,
      InFlightAttempt{run, shard, run->restarts,
                      WaitGroup{run->map->version(), run->MapIndex(shard)},
                      searcher, span, now, is_hedge});
  context_.router.OnSend(request, run->service->name);
  if (is_first)
    context_.router.OnFirstAttempt(run->service->name);
  context_.transport.Send(std::move(request));
}

std::optional<InFlightAttempt> AttemptSender::Remove(AttemptId attempt) {
  auto it = attempts_.find(attempt);
  if (it == attempts_.end())
    return std::nullopt;
  InFlightAttempt removed = std::move(it->second);
  attempts_.erase(it);
  return removed;
}

void AttemptSender::EmitSpan(const InFlightAttempt& attempt,
                             const UpstreamReply& reply) {
  if (!attempt.run->traced)
    return;
  SpanRecord record;
  record.context = attempt.run->trace;
  record.context.span_id = attempt.span;
  record.parent = attempt.run->query_span;
  record.name = "attempt";
  record.start = attempt.sent_at;
  record.end = context_.timers.Now();
  record.attributes = {
      {"searcher", attempt.searcher.value()},
      {"verdict", std::string(NameOf(reply.outcome))},
      {"hedge", attempt.is_hedge ? "true" : "false"},
      {"current", attempt.IsCurrent() ? "true" : "false"},
  };
  context_.trace->Emit(std::move(record));
}

void AttemptSender::CancelAttempts(QueryRun& run, std::size_t shard) {
  for (AttemptId& attempt : run.shards[shard].in_flight) {
    if (attempt == AttemptId())
      continue;
    run.may_have_run = true;
    AttemptId cancelled = std::exchange(attempt, AttemptId());
    context_.transport.Cancel(cancelled);
  }
}

const SearcherId& AttemptSender::SearcherOf(AttemptId attempt) const {
  return attempts_.at(attempt).searcher;
}

}  // namespace jujubecove
