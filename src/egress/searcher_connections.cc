#include "egress/searcher_connections.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace jujubecove {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kMaxReplyBytes = 4U << 20U;
// A searcher in the same region accepts within a few milliseconds. A slower
// connect is abandoned, so that the request can go to another searcher.
constexpr Duration kConnectTimeout = milliseconds(300);
// Idle connections are closed after this fraction of the searcher's keep-alive
// timeout, or of the default if the searcher announced none.
constexpr double kKeepAliveFraction = 0.7;
constexpr Duration kDefaultKeepAlive = std::chrono::seconds(20);
// A request that must not run twice is sent on a connection that has been idle
// for less than this, or on a new one.
constexpr Duration kMaxIdleForNonIdempotent = milliseconds(500);
// When an attempt is cancelled after this time without a reply, connections
// idle since before it was sent are closed: they may be unresponsive too.
constexpr Duration kNoReplyThreshold = milliseconds(400);
// Late copies of the replies to that many requests can't be taken for the reply
// to a request with the same id.
constexpr std::size_t kRememberedIds = 8;

}  // namespace

SearcherConnections::SearcherConnections(boost::asio::io_context& context,
                                         TimerService& timers,
                                         const SearcherProtocol& protocol,
                                         ReplyBudget& budget,
                                         EgressStats& stats,
                                         SearcherEntry searcher)
    : context_(context),
      timers_(timers),
      protocol_(protocol),
      budget_(budget),
      stats_(stats),
      searcher_(std::move(searcher)) {}

SearcherConnections::~SearcherConnections() {
  timers_.Cancel(expiry_timer_);
  while (!connections_.empty())
    Close(connections_.begin());
}

void SearcherConnections::Send(AttemptId attempt,
                               ForwardedRequestPtr request,
                               const AttemptOptions& attempt_options,
                               SearcherTransport::ReplyHandler done) {
  queued_.Push(QueuedAttempt{attempt, std::move(request), attempt_options,
                             std::move(done), timers_.Now()});
  AssignConnections();
  ScheduleExpiry();
}

void SearcherConnections::ScheduleExpiry() {
  timers_.Cancel(expiry_timer_);
  std::optional<TimePoint> next = queued_.NextExpiry();
  if (next)
    expiry_timer_ = timers_.ScheduleAt(*next, [this] { ReturnExpired(); });
}

void SearcherConnections::ReturnExpired() {
  std::vector<QueuedAttempt> expired = queued_.TakeExpired(timers_.Now());
  ScheduleExpiry();
  ReturnUnsent(std::move(expired), "no connection free in time");
}

void SearcherConnections::ReturnUnsent(std::vector<QueuedAttempt> attempts,
                                       const std::string& reason,
                                       bool connect_failed) {
  for (QueuedAttempt& it : attempts) {
    AttemptReply reply;
    reply.outcome = AttemptResult::kNotSent;
    reply.failure = reason;
    reply.connect_failed = connect_failed;
    it.done(std::move(reply));
  }
}

void SearcherConnections::AssignConnections() {
  TimePoint now = timers_.Now();
  // The most recently used connection is the least likely to have been closed
  // by the searcher.
  for (auto it = connections_.begin();
       it != connections_.end() && !queued_.empty();) {
    auto next = std::next(it);
    if (it->client->state() == ClientConnection::State::kIdle) {
      if (IsStale(*it) || !IsSafeFor(*it, queued_.Next(now))) {
        Close(it);
      } else {
        Write(it, queued_.Pop(now));
      }
    }
    it = next;
  }
  while (connecting_ < static_cast<int>(queued_.size()) &&
         static_cast<int>(connections_.size()) < connection_limit_)
    OpenConnection();
}

void SearcherConnections::OpenConnection() {
  ++connecting_;
  ++stats_.connections_opened;
  connections_.push_front(Connection{});
  auto it = connections_.begin();
  it->client =
      std::make_shared<ClientConnection>(context_, kMaxReplyBytes, &budget_);
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
                       .classify_reply =
                           [this, it](const WireReply& reply) {
                             return ClassifyReply(*it, reply);
                           }});
}

// A reply without an id can only be trusted as the first one on a connection:
// later it may be a late copy of an earlier reply.
ReplyUse SearcherConnections::ClassifyReply(const Connection& connection,
                                            const WireReply& reply) const {
  if (!connection.attempt)
    return ReplyUse::kSkip;
  switch (protocol_.OwnerOf(reply, *connection.attempt->request)) {
    case ReplyOwner::kThisRequest:
      return ReplyUse::kAccept;
    case ReplyOwner::kOtherRequest:
      return ReplyUse::kSkip;
    case ReplyOwner::kUnidentified:
      break;
  }
  return connection.request_ids.size() == 1 ? ReplyUse::kAcceptAndClose
                                            : ReplyUse::kSkip;
}

void SearcherConnections::OnConnectFailed(Iterator it,
                                          const std::string& reason) {
  --connecting_;
  ++stats_.connects_failed;
  Close(it);
  // While other connections are open, the attempts stay queued for those.
  bool any_open = connecting_ < static_cast<int>(connections_.size());
  if (any_open)
    return;
  timers_.Cancel(expiry_timer_);
  ReturnUnsent(queued_.TakeAll(), reason, true);
}

void SearcherConnections::OnIdle(Iterator it) {
  it->idle_since = timers_.Now();
  if (retired_ && queued_.empty()) {
    Close(it);
    return;
  }
  connections_.splice(connections_.begin(), connections_, it);
  AssignConnections();
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
  it->request_ids.push_back(attempt.request->id);
  if (it->request_ids.size() > kRememberedIds)
    it->request_ids.pop_front();
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
  reply.on_new_connection = it->request_ids.size() == 1;
  // A searcher that wants no more requests gets none of the queued ones before
  // the reply has been handled.
  bool wants_more = !reply.leaving && !reply.retry_after;
  if (it->client->state() != ClientConnection::State::kIdle)
    Close(it);
  else if (wants_more)
    OnIdle(it);
  else
    it->idle_since = timers_.Now();
  attempt.done(std::move(reply));
  if (wants_more)
    return;
  if (retired_)
    CloseIdleBefore(TimePoint::max());
  AssignConnections();
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
  if (queued_.Remove(attempt))
    return false;
  for (auto it = connections_.begin(); it != connections_.end(); ++it) {
    if (!it->attempt || it->attempt->id != attempt)
      continue;
    ++stats_.attempts_cancelled;
    TimePoint sent_at = it->sent_at;
    bool no_reply = timers_.Now() - sent_at > kNoReplyThreshold;
    Close(it);
    if (no_reply)
      CloseIdleBefore(sent_at);
    AssignConnections();
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

bool SearcherConnections::HasIdle() const {
  return std::any_of(
      connections_.begin(), connections_.end(), [this](const Connection& it) {
        return it.client->state() == ClientConnection::State::kIdle &&
               !IsStale(it);
      });
}

void SearcherConnections::ReturnQueued(const std::string& reason) {
  timers_.Cancel(expiry_timer_);
  ReturnUnsent(queued_.TakeAll(), reason);
}

void SearcherConnections::Retire() {
  retired_ = true;
  CloseIdleBefore(TimePoint::max());
  ReturnQueued("the searcher accepts no new requests");
}

void SearcherConnections::CloseStale() {
  for (auto it = connections_.begin(); it != connections_.end();) {
    auto next = std::next(it);
    if (it->client->state() == ClientConnection::State::kIdle && IsStale(*it))
      Close(it);
    it = next;
  }
}

void SearcherConnections::CloseIdleBefore(TimePoint cutoff) {
  for (auto it = connections_.begin(); it != connections_.end();) {
    auto next = std::next(it);
    if (it->client->state() == ClientConnection::State::kIdle &&
        it->idle_since < cutoff)
      Close(it);
    it = next;
  }
}

bool SearcherConnections::IsStale(const Connection& connection) const {
  Duration keep_alive =
      connection.client->keep_alive_timeout().value_or(kDefaultKeepAlive);
  Duration limit(static_cast<Duration::rep>(
      static_cast<double>(keep_alive.count()) * kKeepAliveFraction));
  return timers_.Now() - connection.idle_since > limit;
}

// A late copy of an earlier reply must not match the request by its id. And the
// searcher or a middlebox may have dropped an idle connection: the next request
// then gets a reset, and whether it ran is unknown.
bool SearcherConnections::IsSafeFor(const Connection& connection,
                                    const QueuedAttempt& attempt) const {
  const std::deque<std::string>& ids = connection.request_ids;
  if (std::find(ids.begin(), ids.end(), attempt.request->id) != ids.end())
    return false;
  return attempt.attempt_options.idempotent ||
         timers_.Now() - connection.idle_since < kMaxIdleForNonIdempotent;
}

void SearcherConnections::Close(Iterator it) {
  timers_.Cancel(it->connect_timer);
  it->client->Close();
  connections_.erase(it);
}

}  // namespace jujubecove
