#include "http/http_client.h"

#include <algorithm>
#include <utility>

namespace jujubecove {
namespace {

// A reachable server accepts within milliseconds; the timeout leaves room for a
// slow one.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(500);

}  // namespace

HttpClient::HttpClient(boost::asio::io_context& context,
                       TimerService& timers,
                       SocketAddress address,
                       std::size_t max_reply_bytes)
    : context_(context),
      timers_(timers),
      address_(std::move(address)),
      max_reply_bytes_(max_reply_bytes) {}

HttpClient::~HttpClient() {
  CloseIdle();
  for (const CallPtr& it : calls_) {
    timers_.Cancel(it->timer);
    timers_.Cancel(it->connect_timer);
    it->connection->Close();
  }
}

void HttpClient::Call(const std::string& method,
                      const std::string& target,
                      const std::string& body,
                      Duration timeout,
                      Done done) {
  CallPtr call = std::make_shared<PendingCall>();
  call->head = method + " " + target +
               " HTTP/1.1\r\nHost: " + address_.ToString() + "\r\n";
  if (!body.empty()) {
    call->head += "Content-Type: application/json\r\n";
    call->body = std::make_shared<const std::string>(body);
  }
  if (method != "GET")
    call->head += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  call->head += "\r\n";
  call->done = std::move(done);
  call->timer = ScheduleTimeout(call, timeout);
  calls_.push_back(call);
  call->connection = TakeIdle();
  if (call->connection)
    Send(call);
  else
    Connect(call);
}

TimerId HttpClient::ScheduleTimeout(const CallPtr& call, Duration delay) {
  std::weak_ptr<PendingCall> weak = call;
  return timers_.ScheduleAfter(delay, [this, weak] {
    if (CallPtr timed_out = weak.lock()) {
      bool written =
          timed_out->connection->state() == ClientConnection::State::kBusy;
      timed_out->connection->Close();
      CloseIdle();
      Finish(timed_out, {.written = written, .failure = "no reply in time"});
    }
  });
}

void HttpClient::CloseIdle() {
  for (const std::shared_ptr<ClientConnection>& it : idle_)
    it->Close();
  idle_.clear();
}

std::shared_ptr<ClientConnection> HttpClient::TakeIdle() {
  if (idle_.empty())
    return nullptr;
  std::shared_ptr<ClientConnection> connection = std::move(idle_.back());
  idle_.pop_back();
  return connection;
}

void HttpClient::Connect(const CallPtr& call) {
  call->connection =
      std::make_shared<ClientConnection>(context_, max_reply_bytes_);
  call->connect_timer = ScheduleTimeout(call, kConnectTimeout);
  ClientConnection* connection = call->connection.get();
  // A reused connection carries another call, so the call is looked up each
  // time.
  auto find = [this, connection]() -> CallPtr {
    auto it = std::find_if(calls_.begin(), calls_.end(),
                           [connection](const CallPtr& call) {
                             return call->connection.get() == connection;
                           });
    return it == calls_.end() ? nullptr : *it;
  };
  call->connection->Connect(
      address_, {.connected =
                     [this, find] {
                       if (CallPtr call = find())
                         Send(call);
                     },
                 .connect_failed =
                     [this, find](const std::string& reason) {
                       if (CallPtr call = find())
                         Finish(call, {.failure = reason});
                     },
                 .closed = [this, connection](
                               const std::string&) { RemoveIdle(connection); },
                 .finished =
                     [this, find](HttpExchange exchange) {
                       if (CallPtr call = find())
                         Finish(call, std::move(exchange));
                     },
                 .classify_reply = nullptr});
}

void HttpClient::Send(const CallPtr& call) {
  timers_.Cancel(call->connect_timer);
  call->connection->Send(std::move(call->head), call->body, false);
}

void HttpClient::Finish(const CallPtr& call, HttpExchange exchange) {
  CallPtr finished_call = call;
  timers_.Cancel(finished_call->timer);
  timers_.Cancel(finished_call->connect_timer);
  std::erase(calls_, finished_call);
  if (finished_call->connection->state() == ClientConnection::State::kIdle)
    idle_.push_back(finished_call->connection);
  finished_call->done(std::move(exchange));
}

void HttpClient::RemoveIdle(const ClientConnection* connection) {
  std::erase_if(
      idle_, [connection](const auto& it) { return it.get() == connection; });
}

}  // namespace jujubecove
