#include <array>
#include <string_view>
#include <utility>

#include "upstream/searcher_pool.h"
#include "upstream/wire.h"

namespace jujubecove {
namespace {

struct Refusal {
  std::string_view reason;
  AttemptOutcome outcome;
};

constexpr std::array<Refusal, 6> kRefusals = {{
    {wire::kNotRunBusy, AttemptOutcome::kRefusedBusy},
    {wire::kNotRunDraining, AttemptOutcome::kRefusedDraining},
    {wire::kNotRunVersion, AttemptOutcome::kRefusedVersion},
    {wire::kNotRunMap, AttemptOutcome::kRefusedMap},
    {wire::kNotRunCold, AttemptOutcome::kRefusedCold},
    {wire::kNotRunDeadline, AttemptOutcome::kRefusedDeadline},
}};

constexpr unsigned kStatusOk = 200;
constexpr unsigned kStatusUnavailable = 503;

// Outcome of an attempt by its reply.
AttemptOutcome Classify(const ParsedReply& reply) {
  if (!reply.not_run.empty()) {
    if (reply.status != kStatusUnavailable)
      return AttemptOutcome::kBadReply;
    for (const Refusal& refusal : kRefusals) {
      if (refusal.reason == reply.not_run)
        return refusal.outcome;
    }
    return AttemptOutcome::kBadReply;
  }
  if (reply.status != kStatusOk)
    return AttemptOutcome::kFailed;
  if (reply.shard.empty() || !reply.map_version || !reply.index_version)
    return AttemptOutcome::kBadReply;
  return AttemptOutcome::kOk;
}

Execution ExecutionOf(AttemptOutcome outcome) {
  if (outcome == AttemptOutcome::kOk)
    return Execution::kRan;
  for (const Refusal& refusal : kRefusals) {
    if (refusal.outcome == outcome)
      return Execution::kNotRun;
  }
  return Execution::kUnknown;
}

}  // namespace

void SearcherPool::OnReply(Connection& connection, ParsedReply& reply) {
  // Before the whole request was written, only a refusal is a valid reply.
  bool early = connection.write_pending() && reply.not_run.empty();
  if (early || !Matches(connection, reply)) {
    OnBadReply(connection);
    return;
  }
  last_reply_at_ = host_.last_reply_at = host_.timer.Now();
  consecutive_failures_ = 0;
  host_.OnValidReply(searcher_, reply.report_generation);
  ConnectionActivity activity = connection.activity;
  bool keep = reply.keep_alive && !connection.write_pending();
  if (activity == ConnectionActivity::kAttempt) {
    keep = HandleAttemptReply(connection, reply) && keep;
  } else if (activity == ConnectionActivity::kLateReply) {
    ObserveLatency(connection, reply);
  } else if (activity == ConnectionActivity::kControl && connection.control) {
    std::exchange(connection.control, nullptr)(&reply);
  } else if (activity == ConnectionActivity::kPingBeforeAttempt) {
    StartAttemptAfterPing(connection, keep);
    return;
  }
  if (keep) {
    Release(connection);
    return;
  }
  Discard(connection);
  OpenConnections();
}

void SearcherPool::StartAttemptAfterPing(Connection& connection, bool keep) {
  UpstreamRequest request = std::move(connection.request);
  bool in_time = host_.timer.Now() < request.deadline;
  if (keep && in_time && WriteAttempt(connection, request))
    return;
  if (keep && !in_time) {
    FinishUnsent(request, AttemptOutcome::kNoConnection);
    Release(connection);
    return;
  }
  Discard(connection);
  Requeue(std::move(request));
  OpenConnections();
}

// Pings and fetches carry no attempt id, so a reply to one that echoes an id is
// a late or duplicate reply to something else.
bool SearcherPool::Matches(const Connection& connection,
                           const ParsedReply& reply) const {
  if (reply.attempt == connection.expected_attempt)
    return true;
  return connection.activity == ConnectionActivity::kControl &&
         reply.attempt.empty();
}

// Returns false if the connection must not be used again.
bool SearcherPool::HandleAttemptReply(Connection& connection,
                                      ParsedReply& reply) {
  UpstreamReply result;
  result.attempt = connection.request.attempt;
  result.searcher = searcher_;
  result.outcome = Classify(reply);
  result.execution = ExecutionOf(result.outcome);
  result.latency = host_.timer.Now() - connection.started;
  result.reported_in_flight = reply.in_flight;
  result.draining =
      reply.draining || result.outcome == AttemptOutcome::kRefusedDraining;
  bool bad = result.outcome == AttemptOutcome::kBadReply;
  if (bad)
    host_.stats.bad_replies.Add(1);
  if (result.execution == Execution::kNotRun)
    host_.stats.refused.Add(1);
  ObserveLatency(connection, reply);
  if (result.outcome == AttemptOutcome::kOk) {
    result.shard = ShardId(std::move(reply.shard));
    result.map_version = ShardMapVersion(*reply.map_version);
    result.index_version = IndexVersion(*reply.index_version);
    result.body = std::move(reply.body);
  }
  host_.QueueReply(std::move(result));
  return !bad;
}

void SearcherPool::ObserveLatency(Connection& connection,
                                  const ParsedReply& reply) {
  if (reply.status != kStatusOk || connection.kind_latency == nullptr)
    return;
  Duration latency = host_.timer.Now() - connection.started;
  latency_.Observe(latency);
  connection.kind_latency->Observe(latency);
}

void SearcherPool::FinishUnsent(const UpstreamRequest& request,
                                AttemptOutcome outcome) {
  UpstreamReply reply;
  reply.attempt = request.attempt;
  reply.searcher = searcher_;
  reply.outcome = outcome;
  reply.execution = Execution::kNotRun;
  if (outcome == AttemptOutcome::kNoConnection)
    host_.stats.no_connection.Add(1);
  if (outcome == AttemptOutcome::kCancelled)
    host_.stats.cancelled.Add(1);
  host_.QueueReply(std::move(reply));
}

void SearcherPool::FinishSent(Connection& connection, AttemptOutcome outcome) {
  UpstreamReply reply;
  reply.attempt = connection.request.attempt;
  reply.searcher = searcher_;
  reply.outcome = outcome;
  reply.execution = Execution::kUnknown;
  reply.latency = host_.timer.Now() - connection.started;
  if (outcome == AttemptOutcome::kCancelled)
    host_.stats.cancelled.Add(1);
  host_.QueueReply(std::move(reply));
}

void SearcherPool::OnBadReply(Connection& connection) {
  connection.Close();
  OnLost(connection, LossCause::kBadReply);
}

void SearcherPool::OnLost(Connection& connection, LossCause cause) {
  if (cause == LossCause::kBadReply)
    host_.stats.bad_replies.Add(1);
  if (cause == LossCause::kUnsolicited)
    host_.stats.unsolicited.Add(1);
  // Prevents a connect loop when a searcher accepts connections and closes them
  // at once.
  if (!connection.has_received || cause != LossCause::kClosed)
    BackOff();
  ConnectionActivity activity = connection.activity;
  if (activity == ConnectionActivity::kAttempt)
    FinishSent(connection, cause == LossCause::kClosed
                               ? AttemptOutcome::kConnectionLost
                               : AttemptOutcome::kBadReply);
  if (activity == ConnectionActivity::kControl && connection.control)
    std::exchange(connection.control, nullptr)(nullptr);
  Discard(connection);
  if (activity == ConnectionActivity::kPingBeforeAttempt)
    Requeue(std::move(connection.request));
  OpenConnections();
}

}  // namespace jujubecove
