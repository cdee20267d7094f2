#include "ingress/ingress_server.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>

#include "telemetry/log.h"

namespace jujubecove {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr Duration kTimeoutCheckInterval = std::chrono::milliseconds(500);
// Delay after a failed accept, for example with too many open descriptors.
constexpr Duration kAcceptRetryDelay = std::chrono::milliseconds(50);

// A caller that reads takes its answer within this time.
constexpr Duration kAnswerReadTime = std::chrono::seconds(2);
// The limit on connections is not reduced below this.
constexpr std::size_t kMinConnections = 16;

Error ListenError(const SocketAddress& address, const error_code& ec) {
  return Error{ErrorKind::kInternal,
               "can't listen on " + address.ToString() + ": " + ec.message()};
}

}  // namespace

IngressServer::IngressServer(boost::asio::io_context& context,
                             TimerService& timers,
                             IngressHost& host,
                             const CallerProtocol& protocol,
                             std::size_t max_connections,
                             CallerMemory* memory)
    : context_(context),
      timers_(timers),
      host_(host),
      protocol_(protocol),
      max_connections_(max_connections),
      memory_(memory),
      acceptor_(context) {}

Result<void> IngressServer::Listen(const SocketAddress& address) {
  error_code ec;
  tcp::endpoint endpoint(boost::asio::ip::make_address(address.ip, ec),
                         address.port);
  if (ec)
    return ListenError(address, ec);
  acceptor_.open(endpoint.protocol(), ec);
  if (!ec)
    acceptor_.set_option(tcp::acceptor::reuse_address(true), ec);
  if (!ec)
    acceptor_.bind(endpoint, ec);
  if (!ec)
    acceptor_.listen(boost::asio::socket_base::max_listen_connections, ec);
  if (ec)
    return ListenError(address, ec);
  Accept();
  timers_.ScheduleAfter(kTimeoutCheckInterval, [this] { CheckTimeouts(); });
  return boost::outcome_v2::success();
}

void IngressServer::Accept() {
  acceptor_.async_accept([this](const error_code& ec, tcp::socket socket) {
    if (!acceptor_.is_open())
      return;
    if (ec) {
      OnAcceptFailed(ec);
      return;
    }
    waiting_.emplace(std::move(socket));
    Admit();
  });
}

// Without free descriptors, the daemon could not accept or connect any more.
// What is closed beyond one connection is left to searchers and the store.
void IngressServer::OnAcceptFailed(const error_code& ec) {
  JJ_LOG(kFrontend, WARNING) << "accept failed with " << connections_.size()
                             << " connections: " << ec.message();
  if (ec == boost::asio::error::no_descriptors ||
      ec == boost::system::errc::too_many_files_open_in_system) {
    max_connections_ =
        std::min(max_connections_,
                 std::max(connections_.size() - connections_.size() / 8,
                          kMinConnections));
    while (connections_.size() > max_connections_ && CloseLongestWaiting()) {
    }
  }
  timers_.ScheduleAfter(kAcceptRetryDelay, [this] { Accept(); });
}

void IngressServer::Admit() {
  if (!waiting_ || !acceptor_.is_open())
    return;
  if (connections_.size() >= max_connections_ && !CloseLongestWaiting()) {
    timers_.ScheduleAfter(kAcceptRetryDelay, [this] { Admit(); });
    return;
  }
  Add(std::move(*waiting_));
  waiting_.reset();
  Accept();
}

void IngressServer::Add(tcp::socket socket) {
  std::shared_ptr<IngressConnection> connection =
      std::make_shared<IngressConnection>(
          std::move(socket), timers_, host_, protocol_, memory_,
          [this](IngressConnection* closed) { connections_.erase(closed); });
  connections_.emplace(connection.get(), connection);
  connection->Start();
}

bool IngressServer::CloseLongestWaiting() {
  std::shared_ptr<IngressConnection> oldest;
  TimePoint now = timers_.Now();
  for (const auto& [key, it] : connections_) {
    bool waits = it->IsWaitingForCaller() ||
                 (it->IsWriting() && now - it->idle_since() >= kAnswerReadTime);
    if (waits && (!oldest || it->idle_since() < oldest->idle_since()))
      oldest = it;
  }
  if (!oldest)
    return false;
  ++displaced_;
  host_.OnConnectionDropped("too many connections");
  oldest->Close();
  return true;
}

// Closing the listening socket would reset the connections in its queue,
// although their callers may have sent a request.
void IngressServer::AcceptQueued() {
  if (waiting_)
    Add(std::move(*waiting_));
  waiting_.reset();
  error_code ec;
  acceptor_.non_blocking(true, ec);
  for (std::size_t n = 0; n < max_connections_ && !ec; ++n) {
    tcp::socket socket(context_);
    acceptor_.accept(socket, ec);
    if (!ec)
      Add(std::move(socket));
  }
}

void IngressServer::StopAccepting() {
  if (!acceptor_.is_open())
    return;
  AcceptQueued();
  error_code ignored;
  acceptor_.close(ignored);
}

void IngressServer::CloseIdle(Duration idle) {
  TimePoint now = timers_.Now();
  std::vector<std::shared_ptr<IngressConnection>> expired;
  for (const auto& [key, it] : connections_) {
    if (it->IsIdle() && now - it->idle_since() >= idle)
      expired.push_back(it);
  }
  // A request may have been read already by an operation whose handler waits to
  // run, so the connections are checked again after such handlers.
  boost::asio::post(context_, [expired = std::move(expired)] {
    for (const std::shared_ptr<IngressConnection>& it : expired) {
      if (it->IsIdle())
        it->Close();
    }
  });
}

std::vector<std::shared_ptr<IngressConnection>> IngressServer::AllConnections()
    const {
  std::vector<std::shared_ptr<IngressConnection>> all;
  all.reserve(connections_.size());
  for (const auto& [key, it] : connections_)
    all.push_back(it);
  return all;
}

void IngressServer::RefuseIfNotRun() {
  for (const std::shared_ptr<IngressConnection>& it : AllConnections())
    it->RefuseIfNotRun();
}

void IngressServer::EndNow() {
  for (const std::shared_ptr<IngressConnection>& it : AllConnections())
    it->EndNow();
}

void IngressServer::CheckTimeouts() {
  TimePoint now = timers_.Now();
  for (const std::shared_ptr<IngressConnection>& it : AllConnections())
    it->CheckTimeouts(now);
  timers_.ScheduleAfter(kTimeoutCheckInterval, [this] { CheckTimeouts(); });
}

}  // namespace jujubecove
