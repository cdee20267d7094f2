#include "upstream/searcher_pool.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>

#include "upstream/request_head.h"
#include "upstream/wire.h"

namespace jujubecove {

SearcherPool::SearcherPool(PoolHost& host,
                           SearcherId searcher,
                           const boost::asio::ip::tcp::endpoint& endpoint)
    : host_(host), searcher_(std::move(searcher)), endpoint_(endpoint) {}

SearcherPool::~SearcherPool() {
  host_.timer.Cancel(reconnect_timer_);
  for (const std::shared_ptr<Connection>& connection : connections_)
    connection->Close();
}

void SearcherPool::SetShare(std::size_t share) {
  share_ = share;
  while (connections_.size() > share_ && !idle_.empty())
    Discard(*idle_.front());
  if (share_ == 0)
    FailWaiting(AttemptOutcome::kNoConnection);
  OpenConnections();
}

void SearcherPool::Send(UpstreamRequest request) {
  if (!HasValidHeaderValues(request))
    FinishUnsent(request, AttemptOutcome::kFailed);
  else if (host_.timer.Now() >= request.deadline)
    FinishUnsent(request, AttemptOutcome::kNoConnection);
  else if (!StartAttemptOnIdle(request))
    Enqueue(std::move(request));
}

bool SearcherPool::StartAttemptOnIdle(UpstreamRequest& request) {
  while (Connection* connection = PopIdle()) {
    if (StartAttempt(*connection, request))
      return true;
    Discard(*connection);
  }
  return false;
}

bool SearcherPool::StartAttempt(Connection& connection,
                                UpstreamRequest& request) {
  bool ping_first =
      !request.idempotent && host_.timer.Now() - connection.last_byte >
                                 host_.options.max_idle_before_ping;
  if (!ping_first)
    return WriteAttempt(connection, request);
  if (!StartPing(connection, ConnectionActivity::kPingBeforeAttempt))
    return false;
  connection.request = std::move(request);
  return true;
}

bool SearcherPool::WriteAttempt(Connection& connection,
                                UpstreamRequest& request) {
  TimePoint now = host_.timer.Now();
  FormatAttempt(host_.incarnation, request.request, request.attempt,
                connection.expected_attempt);
  FormatExecuteHead(request, connection.expected_attempt,
                    request.deadline - now, host_.head);
  if (!connection.Write(host_.head, request.body))
    return false;
  connection.activity = ConnectionActivity::kAttempt;
  connection.started = now;
  connection.request = std::move(request);
  SetSilenceTimeouts(connection);
  host_.stats.attempts_sent.Add(1);
  host_.MarkActive(*this);
  return true;
}

bool SearcherPool::StartPing(Connection& connection,
                             ConnectionActivity activity) {
  FormatGet(searcher_.value(), wire::kPingPath, host_.head);
  if (!connection.Write(host_.head, nullptr))
    return false;
  connection.activity = activity;
  connection.expected_attempt.clear();
  connection.started = host_.timer.Now();
  connection.expires_at = connection.started + PingTimeout();
  host_.stats.pings_sent.Add(1);
  host_.MarkActive(*this);
  return true;
}

bool SearcherPool::StartFetch(Connection& connection, WaitingFetch& fetch) {
  FormatGet(searcher_.value(), fetch.path, host_.head);
  if (!connection.Write(host_.head, nullptr))
    return false;
  connection.activity = ConnectionActivity::kControl;
  connection.expected_attempt.clear();
  connection.control = std::move(fetch.handler);
  connection.started = host_.timer.Now();
  connection.expires_at = fetch.expires_at;
  host_.MarkActive(*this);
  return true;
}

void SearcherPool::SendCancel(const std::string& attempt) {
  Connection* connection = PopIdle();
  if (connection == nullptr)
    return;
  FormatCancel(searcher_.value(), attempt, host_.head);
  if (!connection->Write(host_.head, nullptr)) {
    Discard(*connection);
    return;
  }
  connection->activity = ConnectionActivity::kControl;
  connection->expected_attempt = attempt;
  connection->started = host_.timer.Now();
  connection->expires_at = connection->started + host_.options.fetch_timeout;
  host_.MarkActive(*this);
}

void SearcherPool::Enqueue(UpstreamRequest request) {
  bool unreachable = consecutive_failures_ > 0 &&
                     host_.timer.Now() < reconnect_at_ && !HasEstablished();
  if (unreachable) {
    FinishUnsent(request, AttemptOutcome::kConnectFailed);
  } else if (share_ == 0 ||
             waiting_.size() >= host_.options.max_waiting_attempts) {
    FinishUnsent(request, AttemptOutcome::kNoConnection);
  } else {
    waiting_.push_back(std::move(request));
    host_.stats.attempts_waiting.Add(1);
    host_.MarkActive(*this);
    OpenConnections();
  }
}

void SearcherPool::Requeue(UpstreamRequest request) {
  if (host_.timer.Now() >= request.deadline) {
    FinishUnsent(request, AttemptOutcome::kNoConnection);
    return;
  }
  if (StartAttemptOnIdle(request))
    return;
  waiting_.push_front(std::move(request));
  host_.stats.attempts_waiting.Add(1);
  host_.MarkActive(*this);
}

void SearcherPool::Cancel(AttemptId attempt) {
  auto waiting = std::find_if(
      waiting_.begin(), waiting_.end(),
      [&](const UpstreamRequest& it) { return it.attempt == attempt; });
  if (waiting != waiting_.end()) {
    FinishUnsent(*waiting, AttemptOutcome::kCancelled);
    waiting_.erase(waiting);
    host_.stats.attempts_waiting.Add(-1);
    return;
  }
  for (const std::shared_ptr<Connection>& connection : connections_) {
    bool found = connection->request.attempt == attempt;
    if (found &&
        connection->activity == ConnectionActivity::kPingBeforeAttempt) {
      connection->activity = ConnectionActivity::kPing;
      FinishUnsent(connection->request, AttemptOutcome::kCancelled);
      return;
    }
    if (found && connection->activity == ConnectionActivity::kAttempt) {
      FinishSent(*connection, AttemptOutcome::kCancelled);
      AwaitLateReply(*connection, host_.timer.Now());
      SendCancel(std::string(connection->expected_attempt));
      return;
    }
  }
}

void SearcherPool::Fetch(std::string path, ControlHandler handler) {
  if (share_ == 0 ||
      waiting_fetches_.size() >= host_.options.max_waiting_fetches) {
    boost::asio::post(host_.context,
                      [handler = std::move(handler)] { handler(nullptr); });
    return;
  }
  WaitingFetch fetch{std::move(path), std::move(handler),
                     host_.timer.Now() + host_.options.fetch_timeout};
  while (Connection* connection = PopIdle()) {
    if (StartFetch(*connection, fetch))
      return;
    Discard(*connection);
  }
  waiting_fetches_.push_back(std::move(fetch));
  host_.MarkActive(*this);
  OpenConnections();
}

void SearcherPool::OpenConnections() {
  TimePoint now = host_.timer.Now();
  while (connections_.size() < share_ &&
         connecting_ < host_.options.max_connecting && now >= reconnect_at_)
    StartConnect();
  bool wait = connections_.size() < share_ && now < reconnect_at_;
  if (!wait || reconnect_timer_ != TimerId())
    return;
  reconnect_timer_ = host_.timer.ScheduleAt(reconnect_at_, [this] {
    reconnect_timer_ = TimerId();
    OpenConnections();
  });
}

void SearcherPool::StartConnect() {
  Connection::Owner& owner = *this;
  auto connection = std::make_shared<Connection>(host_.context, host_.timer,
                                                 host_.stats, owner);
  connections_.push_back(connection);
  ++connecting_;
  connection->Connect(endpoint_);
  connection->expires_at = connection->started + host_.options.connect_timeout;
  host_.MarkActive(*this);
}

void SearcherPool::BackOff() {
  Duration bound = host_.options.initial_backoff;
  for (unsigned n = 0;
       n < consecutive_failures_ && bound < host_.options.max_backoff; ++n)
    bound *= 2;
  bound = std::min(bound, host_.options.max_backoff);
  ++consecutive_failures_;
  std::uniform_int_distribution<Duration::rep> jitter(bound.count() / 2,
                                                      bound.count());
  reconnect_at_ = std::max(reconnect_at_,
                           host_.timer.Now() + Duration(jitter(host_.random)));
}

void SearcherPool::OnConnected(Connection& connection) {
  --connecting_;
  Release(connection);
  OpenConnections();
}

void SearcherPool::OnConnectFailed(Connection& connection) {
  host_.stats.connect_failures.Add(1);
  Discard(connection);
  BackOff();
  if (!HasEstablished())
    FailWaiting(AttemptOutcome::kConnectFailed);
  OpenConnections();
}

bool SearcherPool::HasEstablished() const {
  return connections_.size() > connecting_;
}

void SearcherPool::FailWaiting(AttemptOutcome outcome) {
  host_.stats.attempts_waiting.Add(-static_cast<std::int64_t>(waiting_.size()));
  for (const UpstreamRequest& request : std::exchange(waiting_, {}))
    FinishUnsent(request, outcome);
  for (WaitingFetch& fetch : std::exchange(waiting_fetches_, {}))
    boost::asio::post(host_.context, [handler = std::move(fetch.handler)] {
      handler(nullptr);
    });
}

Connection* SearcherPool::PopIdle() {
  if (idle_.empty())
    return nullptr;
  Connection* connection = idle_.back();
  idle_.pop_back();
  return connection;
}

void SearcherPool::Release(Connection& connection) {
  connection.activity = ConnectionActivity::kIdle;
  connection.request.body.reset();
  if (connections_.size() > share_) {
    Discard(connection);
    return;
  }
  if (!StartNextWaiting(connection))
    idle_.push_back(&connection);
}

// Returns true if the connection is in use again or was discarded.
bool SearcherPool::StartNextWaiting(Connection& connection) {
  TimePoint now = host_.timer.Now();
  while (!waiting_.empty()) {
    UpstreamRequest request = std::move(waiting_.front());
    waiting_.pop_front();
    host_.stats.attempts_waiting.Add(-1);
    if (now >= request.deadline) {
      FinishUnsent(request, AttemptOutcome::kNoConnection);
      continue;
    }
    if (!StartAttempt(connection, request)) {
      Discard(connection);
      Requeue(std::move(request));
      OpenConnections();
    }
    return true;
  }
  if (waiting_fetches_.empty())
    return false;
  WaitingFetch fetch = std::move(waiting_fetches_.front());
  waiting_fetches_.pop_front();
  if (!StartFetch(connection, fetch)) {
    Discard(connection);
    waiting_fetches_.push_front(std::move(fetch));
    OpenConnections();
  }
  return true;
}

void SearcherPool::Discard(Connection& connection) {
  if (connection.activity == ConnectionActivity::kConnecting)
    --connecting_;
  connection.Close();
  std::erase(idle_, &connection);
  auto it = std::find_if(connections_.begin(), connections_.end(),
                         [&](const std::shared_ptr<Connection>& entry) {
                           return entry.get() == &connection;
                         });
  if (it == connections_.end())
    return;
  // Keeps the connection alive until its outstanding handlers have run.
  std::swap(*it, connections_.back());
  boost::asio::post(host_.context, [last = std::move(connections_.back())] {});
  connections_.pop_back();
}

}  // namespace jujubecove
