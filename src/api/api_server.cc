#include "api/api_server.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <chrono>
#include <utility>

#include "api/error_body.h"
#include "telemetry/log.h"

namespace jujubecove {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr std::size_t kMaxOperationsConnections = 64;
// Connections over the limit that get an error answer; further ones are closed
// without one.
constexpr std::size_t kMaxRejectedConnections = 64;
constexpr Duration kAcceptRetryDelay = std::chrono::milliseconds(100);
constexpr Duration kDrainCheckInterval = std::chrono::milliseconds(10);
constexpr double kMicrosecondsPerSecond = 1e6;

}  // namespace

ApiServer::ApiServer(asio::io_context& context,
                     TimerService& timers,
                     QueryServiceProxy& query_proxy,
                     Tracer& tracer,
                     MetricsRegistry& metrics,
                     const ApiLimits& limits,
                     ApiServerIdentity identity)
    : context_(context),
      timers_(timers),
      query_proxy_(query_proxy),
      tracer_(tracer),
      metrics_(metrics),
      limits_(limits),
      identity_(std::move(identity)),
      request_seconds_(metrics.AddSummary(
          "jujubecove_frontend_request_seconds",
          "Time from the last byte of a request to its answer.")),
      abandoned_(metrics.AddCounter(
          "jujubecove_frontend_abandoned_total",
          "Requests whose caller closed the connection before the answer.")),
      rejected_connections_(metrics.AddCounter(
          "jujubecove_frontend_refused_connections_total",
          "Connections refused because too many were open.")),
      open_connections_(metrics.AddGauge("jujubecove_frontend_connections",
                                         "Connections open.")) {
  for (int n = 0; n < kEndpointCount; ++n)
    requests_[n] = &metrics.AddCounter(
        "jujubecove_frontend_requests_total", "Requests read.",
        {{"endpoint", std::string(NameOf(static_cast<Endpoint>(n)))}});
  for (int n = 0; n < kErrorKindCount; ++n)
    errors_[n] = &metrics.AddCounter(
        "jujubecove_frontend_errors_total",
        "Errors answered by the frontend itself.",
        {{"kind", std::string(NameOf(static_cast<ErrorKind>(n)))}});
}

ApiServer::~ApiServer() {
  CloseAll();
}

Result<tcp::endpoint> ApiServer::Listen(const tcp::endpoint& address,
                                        ListenerRole role) {
  std::unique_ptr<Listener> listener =
      std::make_unique<Listener>(context_, role);
  error_code ec;
  listener->acceptor.open(address.protocol(), ec);
  if (!ec)
    listener->acceptor.set_option(asio::socket_base::reuse_address(true), ec);
  if (!ec)
    listener->acceptor.bind(address, ec);
  if (!ec)
    listener->acceptor.listen(asio::socket_base::max_listen_connections, ec);
  if (!ec)
    listener->acceptor.non_blocking(true, ec);
  if (ec)
    return Error{ErrorKind::kInternal,
                 "can't listen on " + address.address().to_string() + ":" +
                     std::to_string(address.port()) + ": " + ec.message()};
  tcp::endpoint bound = listener->acceptor.local_endpoint(ec);
  Accept(*listener);
  listeners_.push_back(std::move(listener));
  return bound;
}

void ApiServer::Accept(Listener& listener) {
  listener.acceptor.async_accept([this, &listener](const error_code& ec,
                                                   tcp::socket socket) {
    if (ec == asio::error::operation_aborted || !listener.acceptor.is_open())
      return;
    if (ec) {
      // For example with too many open files; some may be closed by the retry.
      JJ_LOG(kFrontend, WARNING) << "accept failed: " << ec.message();
      timers_.ScheduleAfter(kAcceptRetryDelay,
                            [this, &listener] { Accept(listener); });
      return;
    }
    OnAccepted(std::move(socket), listener.role);
    Accept(listener);
  });
}

void ApiServer::OnAccepted(tcp::socket socket, ListenerRole role) {
  std::size_t limit = role == ListenerRole::kCallers
                          ? limits_.connections
                          : kMaxOperationsConnections;
  bool rejected = CountConnections(role, false) >= limit;
  if (rejected)
    rejected_connections_.Add();
  if (rejected && CountConnections(role, true) >= kMaxRejectedConnections)
    return;
  std::uint64_t id = next_connection_++;
  std::shared_ptr<CallerConnection> connection =
      std::make_shared<CallerConnection>(std::move(socket), id, role, *this);
  connections_.emplace(id, Entry{connection, role, rejected});
  ++connection_counts_[static_cast<std::size_t>(role)][rejected ? 1 : 0];
  open_connections_.Set(static_cast<double>(connections_.size()));
  if (rejected)
    connection->Reject(ErrorKind::kTooManyConnections,
                       "too many connections are open");
  else
    connection->Start();
}

std::size_t ApiServer::CountConnections(ListenerRole role,
                                        bool rejected) const {
  return connection_counts_[static_cast<std::size_t>(role)][rejected ? 1 : 0];
}

void ApiServer::OnClosed(CallerConnection& connection) {
  auto it = connections_.find(connection.id());
  if (it == connections_.end())
    return;
  --connection_counts_[static_cast<std::size_t>(it->second.role)]
                      [it->second.rejected ? 1 : 0];
  connections_.erase(it);
  open_connections_.Set(static_cast<double>(connections_.size()));
}

void ApiServer::BeginDrain() {
  draining_ = true;
}

void ApiServer::AcceptPending(Listener& listener) {
  for (;;) {
    error_code ec;
    tcp::socket socket(context_);
    listener.acceptor.accept(socket, ec);
    if (ec)
      return;
    OnAccepted(std::move(socket), listener.role);
  }
}

void ApiServer::StopAccepting(std::function<void()> drained) {
  draining_ = true;
  stopping_ = true;
  for (const std::unique_ptr<Listener>& listener : listeners_) {
    if (listener->role != ListenerRole::kCallers ||
        !listener->acceptor.is_open())
      continue;
    // Closing the listening socket would reset connections in its backlog.
    AcceptPending(*listener);
    error_code ec;
    listener->acceptor.close(ec);
  }
  std::vector<std::shared_ptr<CallerConnection>> connections;
  for (const auto& [id, entry] : connections_) {
    if (entry.role == ListenerRole::kCallers)
      connections.push_back(entry.connection);
  }
  for (const std::shared_ptr<CallerConnection>& connection : connections)
    connection->Drain();
  CheckDrained(drained);
}

void ApiServer::CheckDrained(const std::function<void()>& drained) {
  if (CountConnections(ListenerRole::kCallers, false) == 0 &&
      query_proxy_.in_flight() == 0) {
    drained();
    return;
  }
  timers_.ScheduleAfter(kDrainCheckInterval,
                        [this, drained] { CheckDrained(drained); });
}

std::size_t ApiServer::CloseAll() {
  for (const std::unique_ptr<Listener>& listener : listeners_) {
    error_code ec;
    listener->acceptor.close(ec);
  }
  std::unordered_map<std::uint64_t, Entry> connections = connections_;
  std::size_t aborted = 0;
  for (const auto& [id, entry] : connections)
    aborted += entry.connection->ForceClose() ? 1 : 0;
  return aborted;
}

LocalAnswer ApiServer::AnswerLocally(Endpoint endpoint) {
  switch (endpoint) {
    case Endpoint::kReady:
      return LocalAnswer{RenderReadiness()};
    case Endpoint::kMetrics:
      return LocalAnswer{RenderedAnswer{200, metrics_.ToPrometheus()},
                         "text/plain; version=0.0.4; charset=utf-8"};
    case Endpoint::kStatus:
      return LocalAnswer{RenderStatus()};
    default:
      return LocalAnswer{RenderedAnswer{200, "{\"status\":\"ok\"}"}};
  }
}

RenderedAnswer ApiServer::RenderReadiness() const {
  if (draining_)
    return RenderError(ErrorKind::kShuttingDown, Execution::kNotRun,
                       "the daemon is shutting down");
  if (state_.not_ready_reasons.empty())
    return RenderedAnswer{200, "{\"status\":\"ready\"}"};
  std::string detail;
  for (const std::string& reason : state_.not_ready_reasons)
    detail += (detail.empty() ? "" : "; ") + reason;
  return RenderError(ErrorKind::kNotReady, Execution::kNotRun, detail);
}

RenderedAnswer ApiServer::RenderStatus() const {
  boost::json::object body;
  body["version"] = identity_.version;
  body["config_version"] = state_.config_version.value();
  body["zone"] = identity_.zone.value();
  body["in_flight"] = query_proxy_.in_flight();
  body["connections"] = connections_.size();
  body["draining"] = draining_;
  boost::json::array reasons;
  for (const std::string& reason : state_.not_ready_reasons)
    reasons.emplace_back(reason);
  body["ready"] = !draining_ && reasons.empty();
  body["not_ready_reasons"] = std::move(reasons);
  return RenderedAnswer{200, boost::json::serialize(body)};
}

void ApiServer::OnRequest(Endpoint endpoint) {
  requests_[static_cast<std::size_t>(endpoint)]->Add();
}

void ApiServer::OnAnswered(int http_status, Duration duration) {
  Counter*& counter = answers_[http_status];
  if (counter == nullptr)
    counter = &metrics_.AddCounter("jujubecove_frontend_answers_total",
                                   "Answers by HTTP status.",
                                   {{"status", std::to_string(http_status)}});
  counter->Add();
  request_seconds_.Observe(static_cast<double>(duration.count()) /
                           kMicrosecondsPerSecond);
}

void ApiServer::OnError(ErrorKind kind) {
  errors_[static_cast<std::size_t>(kind)]->Add();
}

}  // namespace jujubecove
