// The silence rule of docs/design/upstream-connections.md.
#include <algorithm>
#include <utility>

#include "upstream/searcher_pool.h"

namespace jujubecove {
namespace {

// The longest wait without a byte, as a part of the time to the deadline.
constexpr int kDeadlinePart = 4;

TimePoint LastProgress(const Connection& connection) {
  return std::max(connection.started, connection.last_byte);
}

}  // namespace

void SearcherPool::SetSilenceBounds(Connection& connection) {
  const UpstreamOptions& options = host_.options;
  connection.lost = Duration(0);
  connection.kind_latency = &host_.KindLatency(connection.request.kind);
  connection.silence_limit =
      (connection.request.deadline - connection.started) / kDeadlinePart;
  connection.silence_bound = connection.silence_limit;
  if (!connection.kind_latency->known())
    return;
  Duration typical = connection.kind_latency->value() * options.silence_factor;
  connection.silence_bound = std::min(
      connection.silence_limit, std::max(typical, options.min_silence_bound));
}

Duration SearcherPool::PingBound() const {
  return std::clamp(latency_.value() * host_.options.silence_factor,
                    host_.options.min_ping_bound, host_.options.max_ping_bound);
}

void SearcherPool::Sweep(TimePoint now, Duration lost) {
  SweepWaiting(now);
  if (lost > Duration(0)) {
    for (const std::shared_ptr<Connection>& connection : connections_) {
      connection->lost += lost;
      connection->give_up += lost;
    }
  }
  // Discarding moves the last entry, which was visited already, into the gap.
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
        Refuse(request, AttemptOutcome::kNoConnection);
        return true;
      });
  host_.stats.attempts_waiting.Add(-static_cast<std::int64_t>(removed));
  while (!waiting_fetches_.empty() && now >= waiting_fetches_.front().give_up) {
    ControlHandler handler = std::move(waiting_fetches_.front().handler);
    waiting_fetches_.pop_front();
    handler(nullptr);
  }
}

void SearcherPool::SweepConnection(Connection& connection, TimePoint now) {
  if (connection.job == Job::kIdle)
    return;
  if (connection.job == Job::kAttempt) {
    JudgeAttempt(connection, now);
    return;
  }
  bool expired = connection.job == Job::kPingBeforeAttempt &&
                 now >= connection.request.deadline;
  if (expired) {
    connection.job = Job::kPing;
    Refuse(connection.request, AttemptOutcome::kNoConnection);
  }
  if (now < connection.give_up || connection.HasUnreadBytes())
    return;
  switch (connection.job) {
    case Job::kConnecting:
      connection.Close();
      OnConnectFailed(connection);
      break;
    case Job::kPing:
    case Job::kPingBeforeAttempt:
      EndSilentPing(connection, now);
      break;
    case Job::kControl:
      if (connection.control)
        std::exchange(connection.control, nullptr)(nullptr);
      connection.kind_latency = nullptr;
      DropReply(connection, now);
      break;
    default:
      DeclareSilent(connection, now);
      break;
  }
}

bool SearcherPool::IsFreshAfterSilence(const Connection& connection) const {
  return !connection.proven && last_silence_ &&
         connection.established >= *last_silence_;
}

bool SearcherPool::IsSilent(const Connection& connection, TimePoint now) const {
  if (IsFreshAfterSilence(connection))
    return false;
  TimePoint since = LastProgress(connection);
  // The short bound applies while other searchers answer and this one does not
  // on any connection. If it answers elsewhere it may just be slow with this
  // request, and if nobody answers the fault may be this host's.
  bool short_bound = host_.last_alive > since && last_alive_ <= since;
  Duration limit =
      short_bound ? connection.silence_bound : connection.silence_limit;
  return now - since - connection.lost >=
             std::max(limit, latency_.value() * 2) &&
         !connection.HasUnreadBytes();
}

void SearcherPool::JudgeAttempt(Connection& connection, TimePoint now) {
  if (now >= connection.request.deadline) {
    TimeOut(connection, now);
    return;
  }
  if (connection.request.idempotent && IsSilent(connection, now)) {
    Finish(connection, AttemptOutcome::kSilent);
    DeclareSilent(connection, now);
    return;
  }
  TimePoint since = LastProgress(connection);
  if ((now - since) * 2 >= connection.silence_bound && last_alive_ <= since)
    StartProbe(since);
}

// Pings an idle connection that is as old as the silence in question, unless
// one has been pinged since.
void SearcherPool::StartProbe(TimePoint since) {
  bool probing =
      std::any_of(connections_.begin(), connections_.end(),
                  [&](const std::shared_ptr<Connection>& it) {
                    return it->job == Job::kPing && it->started >= since;
                  });
  if (probing)
    return;
  Connection* connection = PopIdle();
  if (connection != nullptr && !StartPing(*connection, Job::kPing)) {
    Discard(*connection);
    Fill();
  }
}

void SearcherPool::TimeOut(Connection& connection, TimePoint now) {
  host_.stats.timed_out.Add(1);
  bool silent = IsSilent(connection, now) && !connection.reply_started() &&
                last_alive_ > LastProgress(connection);
  Finish(connection,
         silent ? AttemptOutcome::kSilent : AttemptOutcome::kTimedOut);
  DropReply(connection, now);
}

void SearcherPool::DropReply(Connection& connection, TimePoint now) {
  Duration wait = 2 * std::max(connection.silence_limit, latency_.value());
  connection.job = Job::kDrop;
  connection.give_up = now + std::clamp(wait, host_.options.min_drop_bound,
                                        host_.options.max_drop_bound);
}

void SearcherPool::DeclareSilent(Connection& connection, TimePoint now) {
  TimePoint since = LastProgress(connection);
  host_.stats.silent_connections.Add(1);
  bool fresh = IsFreshAfterSilence(connection);
  Discard(connection);
  if (fresh)
    BackOff();
  last_silence_ = now;
  CheckIdleConnections(since);
  Fill();
}

void SearcherPool::EndSilentPing(Connection& connection, TimePoint now) {
  bool fresh = IsFreshAfterSilence(connection);
  bool has_request = connection.job == Job::kPingBeforeAttempt;
  DeclareSilent(connection, now);
  if (has_request)
    Requeue(std::move(connection.request));
  if (fresh && !HasEstablished())
    FailWaiting(AttemptOutcome::kConnectFailed);
}

// Pings every idle connection that has received nothing since `before`.
void SearcherPool::CheckIdleConnections(TimePoint before) {
  std::vector<Connection*> idle = std::exchange(idle_, {});
  for (Connection* connection : idle) {
    if (connection->last_byte >= before)
      idle_.push_back(connection);
    else if (!StartPing(*connection, Job::kPing))
      Discard(*connection);
  }
}

}  // namespace jujubecove
