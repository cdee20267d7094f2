#include "egress/searcher_connections.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace jujubecove {
namespace {

using std::chrono::milliseconds;

// Largest reply of a searcher that is read.
constexpr std::size_t kMaxReplyBytes = 4U << 20U;
// A searcher in the same region accepts in single milliseconds. A connection
// that takes longer is given up, so that the request can go elsewhere.
constexpr Duration kConnectTimeout = milliseconds(300);
// Idle connections are closed after this part of the time that the searcher
// keeps them, or after the default if it did not say.
constexpr double kIdleShare = 0.7;
constexpr Duration kDefaultIdle = std::chrono::seconds(20);
// A request that must not run twice is sent on a connection that was in use
// within this time, or on a new one.
constexpr Duration kTrustedIdle = milliseconds(500);
// An attempt that was cancelled after this time without a byte of a reply
// makes the other idle connections doubtful: they may have gone silent too.
constexpr Duration kSilence = milliseconds(400);

}  // namespace

SearcherConnections::SearcherConnections(boost::asio::io_context& context,
                                         TimerService& timers,
                                         const SearcherProtocol& protocol,
                                         EgressStats& stats,
                                         SearcherEntry searcher)
    : context_(context),
      timers_(timers),
      protocol_(protocol),
      stats_(stats),
      searcher_(std::move(searcher)) {}

SearcherConnections::~SearcherConnections() {
  timers_.Cancel(drop_timer_);
  while (!connections_.empty())
    Close(connections_.begin());
}

void SearcherConnections::Send(AttemptId attempt,
                               ForwardedRequestPtr request,
                               const AttemptOptions& attempt_options,
                               SearcherTransport::ReplyHandler done) {
  waiting_.Push(QueuedAttempt{attempt, std::move(request), attempt_options,
                              std::move(done), timers_.Now()});
  Assign();
  ScheduleDrop();
}

void SearcherConnections::ScheduleDrop() {
  timers_.Cancel(drop_timer_);
  std::optional<TimePoint> next = waiting_.NextExpiry();
  if (next)
    drop_timer_ = timers_.ScheduleAt(*next, [this] { DropUseless(); });
}

void SearcherConnections::DropUseless() {
  std::vector<QueuedAttempt> useless = waiting_.TakeExpired(timers_.Now());
  ScheduleDrop();
  ReturnUnsent(std::move(useless), "no connection free in time");
}

void SearcherConnections::ReturnUnsent(std::vector<QueuedAttempt> attempts,
                                       const std::string& reason) {
  for (QueuedAttempt& it : attempts) {
    AttemptReply reply;
    reply.outcome = AttemptResult::kNotSent;
    reply.failure = reason;
    it.done(std::move(reply));
  }
}

void SearcherConnections::Assign() {
  TimePoint now = timers_.Now();
  // The connection that was used last is the least likely to be closed.
  for (auto it = connections_.begin();
       it != connections_.end() && !waiting_.empty();) {
    auto next = std::next(it);
    if (it->client->state() == ClientConnection::State::kIdle) {
      if (IsExpired(*it) || !IsTrusted(*it, waiting_.Next(now))) {
        Close(it);
      } else {
        Write(it, waiting_.Pop(now));
      }
    }
    it = next;
  }
  while (connecting_ < static_cast<int>(waiting_.size()) &&
         static_cast<int>(connections_.size()) < limit_)
    Open();
}

void SearcherConnections::Open() {
  ++connecting_;
  ++stats_.connections_opened;
  connections_.push_front(Connection{});
  auto it = connections_.begin();
  it->client = std::make_shared<ClientConnection>(context_, kMaxReplyBytes);
  it->connect_timer = timers_.ScheduleAfter(kConnectTimeout, [this, it] {
    if (it->client->state() == ClientConnection::State::kConnecting)
      OnConnectFailed(it, "connect: no answer");
  });
  it->client->Connect(searcher_.address,
                      {.connected =
                           [this, it] {
                             --connecting_;
                             timers_.Cancel(it->connect_timer);
                             OnIdle(it);
                           },
                       .connect_failed =
                           [this, it](const std::string& reason) {
                             OnConnectFailed(it, reason);
                           },
                       .closed = [this, it](const std::string&) { Close(it); },
                       .finished =
                           [this, it](HttpExchange exchange) {
                             OnFinished(it, std::move(exchange));
                           },
                       .matches_request =
                           [this, it](const WireReply& reply) {
                             return it->attempt &&
                                    protocol_.IsReplyTo(reply,
                                                        *it->attempt->request);
                           }});
}

void SearcherConnections::OnConnectFailed(Iterator it,
                                          const std::string& reason) {
  --connecting_;
  ++stats_.connects_failed;
  Close(it);
  // While other connections work, the attempts wait for those.
  bool any_open = connecting_ < static_cast<int>(connections_.size());
  if (any_open)
    return;
  timers_.Cancel(drop_timer_);
  ReturnUnsent(waiting_.TakeAll(), reason);
}

void SearcherConnections::OnIdle(Iterator it) {
  it->idle_since = timers_.Now();
  if (retired_ && waiting_.empty()) {
    Close(it);
    return;
  }
  connections_.splice(connections_.begin(), connections_, it);
  Assign();
}

void SearcherConnections::Write(Iterator it, QueuedAttempt attempt) {
  TimePoint now = timers_.Now();
  Duration remaining =
      std::max(attempt.attempt_options.deadline - now, Duration(1000));
  ++stats_.requests_sent;
  it->sent_at = now;
  std::string head =
      protocol_.EncodeHead(*attempt.request, searcher_.id, remaining);
  std::shared_ptr<const std::string> body = attempt.request->body;
  bool is_head = attempt.request->method == "HEAD";
  it->attempt = std::move(attempt);
  it->client->Send(std::move(head), std::move(body), is_head);
}

void SearcherConnections::OnFinished(Iterator it, HttpExchange exchange) {
  QueuedAttempt attempt = std::move(*it->attempt);
  it->attempt.reset();
  if (!exchange.reply)
    ++stats_.exchanges_broken;
  AttemptReply reply = Decode(std::move(exchange));
  reply.queue_time = it->sent_at - attempt.queued_at;
  if (it->client->state() == ClientConnection::State::kIdle)
    OnIdle(it);
  else
    Close(it);
  attempt.done(std::move(reply));
}

AttemptReply SearcherConnections::Decode(HttpExchange exchange) const {
  if (exchange.reply)
    return protocol_.DecodeReply(std::move(*exchange.reply));
  AttemptReply reply;
  reply.outcome = AttemptResult::kBroken;
  reply.failure = std::move(exchange.failure);
  return reply;
}

bool SearcherConnections::Cancel(AttemptId attempt) {
  if (waiting_.Remove(attempt))
    return false;
  for (auto it = connections_.begin(); it != connections_.end(); ++it) {
    if (!it->attempt || it->attempt->id != attempt)
      continue;
    ++stats_.attempts_cancelled;
    TimePoint sent_at = it->sent_at;
    bool silent = timers_.Now() - sent_at > kSilence;
    Close(it);
    if (silent)
      CloseIdleSince(sent_at);
    Assign();
    return true;
  }
  return false;
}

bool SearcherConnections::IsWritten(AttemptId attempt) const {
  return std::any_of(connections_.begin(), connections_.end(),
                     [attempt](const Connection& it) {
                       return it.attempt && it.attempt->id == attempt;
                     });
}

void SearcherConnections::Retire() {
  retired_ = true;
  CloseIdleSince(TimePoint::max());
}

void SearcherConnections::CloseExpired() {
  for (auto it = connections_.begin(); it != connections_.end();) {
    auto next = std::next(it);
    if (it->client->state() == ClientConnection::State::kIdle && IsExpired(*it))
      Close(it);
    it = next;
  }
}

void SearcherConnections::CloseIdleSince(TimePoint before) {
  for (auto it = connections_.begin(); it != connections_.end();) {
    auto next = std::next(it);
    if (it->client->state() == ClientConnection::State::kIdle &&
        it->idle_since < before)
      Close(it);
    it = next;
  }
}

bool SearcherConnections::IsExpired(const Connection& connection) const {
  Duration kept =
      connection.client->keep_alive_timeout().value_or(kDefaultIdle);
  Duration limit(static_cast<Duration::rep>(static_cast<double>(kept.count()) *
                                            kIdleShare));
  return timers_.Now() - connection.idle_since > limit;
}

// A searcher, or something between, may have forgotten an idle connection. Then
// it is reset by the next request, which may have run for all that is known.
bool SearcherConnections::IsTrusted(const Connection& connection,
                                    const QueuedAttempt& attempt) const {
  return attempt.attempt_options.idempotent ||
         timers_.Now() - connection.idle_since < kTrustedIdle;
}

void SearcherConnections::Close(Iterator it) {
  timers_.Cancel(it->connect_timer);
  it->client->Close();
  connections_.erase(it);
}

}  // namespace jujubecove
