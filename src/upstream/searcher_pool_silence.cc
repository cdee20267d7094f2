// Detection of silent connections, see docs/design/upstream-connections.md.
#include <algorithm>
#include <utility>

#include "upstream/searcher_pool.h"

namespace jujubecove {
namespace {

// The silence timeout is the time to the deadline divided by this.
constexpr int kDeadlineDivisor = 4;

TimePoint LastProgress(const Connection& connection) {
  return std::max(connection.started, connection.last_byte);
}

}  // namespace

void SearcherPool::SetSilenceTimeouts(Connection& connection) {
  const UpstreamOptions& options = host_.options;
  connection.thread_stall = Duration(0);
  connection.kind_latency = &host_.KindLatency(connection.request.kind);
  connection.silence_timeout =
      (connection.request.deadline - connection.started) / kDeadlineDivisor;
  connection.short_silence_timeout = connection.silence_timeout;
  if (!connection.kind_latency->has_samples())
    return;
  Duration typical = connection.kind_latency->value() * options.silence_factor;
  connection.short_silence_timeout =
      std::min(connection.silence_timeout,
               std::max(typical, options.min_silence_timeout));
}

Duration SearcherPool::PingTimeout() const {
  return std::clamp(latency_.value() * host_.options.silence_factor,
                    host_.options.min_ping_timeout,
                    host_.options.max_ping_timeout);
}

void SearcherPool::Sweep(TimePoint now, Duration thread_stall) {
  SweepWaiting(now);
  if (thread_stall > Duration(0)) {
    for (const std::shared_ptr<Connection>& connection : connections_) {
      connection->thread_stall += thread_stall;
      connection->expires_at += thread_stall;
    }
  }
  // Discarding a connection moves the last one, already visited, to its place.
  for (std::size_t n = connections_.size(); n-- > 0;) {
    if (n < connections_.size())
      SweepConnection(*connections_[n], now);
  }
}

void SearcherPool::SweepWaiting(TimePoint now) {
  std::size_t removed =
      std::erase_if(waiting_, [&](const UpstreamRequest& request) {
        if (now < request.deadline)
          return false;
        FinishUnsent(request, AttemptOutcome::kNoConnection);
        return true;
      });
  host_.stats.attempts_waiting.Add(-static_cast<std::int64_t>(removed));
  while (!waiting_fetches_.empty() &&
         now >= waiting_fetches_.front().expires_at) {
    ControlHandler handler = std::move(waiting_fetches_.front().handler);
    waiting_fetches_.pop_front();
    handler(nullptr);
  }
}

void SearcherPool::SweepConnection(Connection& connection, TimePoint now) {
  if (connection.activity == ConnectionActivity::kIdle)
    return;
  if (connection.activity == ConnectionActivity::kAttempt) {
    SweepAttempt(connection, now);
    return;
  }
  bool expired =
      connection.activity == ConnectionActivity::kPingBeforeAttempt &&
      now >= connection.request.deadline;
  if (expired) {
    connection.activity = ConnectionActivity::kPing;
    FinishUnsent(connection.request, AttemptOutcome::kNoConnection);
  }
  if (now < connection.expires_at || connection.HasUnreadBytes())
    return;
  switch (connection.activity) {
    case ConnectionActivity::kConnecting:
      connection.Close();
      OnConnectFailed(connection);
      break;
    case ConnectionActivity::kPing:
    case ConnectionActivity::kPingBeforeAttempt:
      HandlePingTimeout(connection, now);
      break;
    case ConnectionActivity::kControl:
      if (connection.control)
        std::exchange(connection.control, nullptr)(nullptr);
      connection.kind_latency = nullptr;
      AwaitLateReply(connection, now);
      break;
    default:
      ReplaceSilent(connection, now);
      break;
  }
}

bool SearcherPool::IsUntestedReplacement(const Connection& connection) const {
  return !connection.has_received && last_silence_ &&
         connection.established >= *last_silence_;
}

bool SearcherPool::IsSilent(const Connection& connection, TimePoint now) const {
  if (IsUntestedReplacement(connection))
    return false;
  TimePoint since = LastProgress(connection);
  // The short timeout applies while other searchers reply and this one does not
  // reply on any connection. If it replies on another one, it may only be slow
  // with this request. If no searcher replies, this host may be the cause.
  bool use_short_timeout =
      host_.last_reply_at > since && last_reply_at_ <= since;
  Duration timeout = use_short_timeout ? connection.short_silence_timeout
                                       : connection.silence_timeout;
  return now - since - connection.thread_stall >=
             std::max(timeout, latency_.value() * 2) &&
         !connection.HasUnreadBytes();
}

void SearcherPool::SweepAttempt(Connection& connection, TimePoint now) {
  if (now >= connection.request.deadline) {
    TimeOutAttempt(connection, now);
    return;
  }
  if (connection.request.idempotent && IsSilent(connection, now)) {
    FinishSent(connection, AttemptOutcome::kSilent);
    ReplaceSilent(connection, now);
    return;
  }
  TimePoint since = LastProgress(connection);
  if ((now - since) * 2 >= connection.short_silence_timeout &&
      last_reply_at_ <= since)
    StartProbe(since);
}

// Pings an idle connection, unless one was pinged after the silence began.
void SearcherPool::StartProbe(TimePoint since) {
  bool probing =
      std::any_of(connections_.begin(), connections_.end(),
                  [&](const std::shared_ptr<Connection>& it) {
                    return it->activity == ConnectionActivity::kPing &&
                           it->started >= since;
                  });
  if (probing)
    return;
  Connection* connection = PopIdle();
  if (connection != nullptr &&
      !StartPing(*connection, ConnectionActivity::kPing)) {
    Discard(*connection);
    OpenConnections();
  }
}

void SearcherPool::TimeOutAttempt(Connection& connection, TimePoint now) {
  host_.stats.timed_out.Add(1);
  bool silent = IsSilent(connection, now) && !connection.reply_started() &&
                last_reply_at_ > LastProgress(connection);
  FinishSent(connection,
             silent ? AttemptOutcome::kSilent : AttemptOutcome::kTimedOut);
  AwaitLateReply(connection, now);
}

void SearcherPool::AwaitLateReply(Connection& connection, TimePoint now) {
  Duration wait = 2 * std::max(connection.silence_timeout, latency_.value());
  connection.activity = ConnectionActivity::kLateReply;
  connection.expires_at =
      now + std::clamp(wait, host_.options.min_late_reply_timeout,
                       host_.options.max_late_reply_timeout);
}

void SearcherPool::ReplaceSilent(Connection& connection, TimePoint now) {
  TimePoint since = LastProgress(connection);
  host_.stats.silent_connections.Add(1);
  bool untested = IsUntestedReplacement(connection);
  Discard(connection);
  if (untested)
    BackOff();
  last_silence_ = now;
  PingIdleConnections(since);
  OpenConnections();
}

void SearcherPool::HandlePingTimeout(Connection& connection, TimePoint now) {
  bool untested = IsUntestedReplacement(connection);
  bool has_request =
      connection.activity == ConnectionActivity::kPingBeforeAttempt;
  ReplaceSilent(connection, now);
  if (has_request)
    Requeue(std::move(connection.request));
  if (untested && !HasEstablished())
    FailWaiting(AttemptOutcome::kConnectFailed);
}

// Pings every idle connection that has received nothing since `before`.
void SearcherPool::PingIdleConnections(TimePoint before) {
  std::vector<Connection*> idle = std::exchange(idle_, {});
  for (Connection* connection : idle) {
    if (connection->last_byte >= before)
      idle_.push_back(connection);
    else if (!StartPing(*connection, ConnectionActivity::kPing))
      Discard(*connection);
  }
}

}  // namespace jujubecove
