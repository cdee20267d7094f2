#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "api/api_limits.h"
#include "api/caller_connection.h"
#include "api/connection_host.h"
#include "api/query_service_proxy.h"
#include "base/ids.h"
#include "base/result.h"
#include "kernel/timer_service.h"
#include "telemetry/metrics.h"
#include "telemetry/tracer.h"

namespace jujubecove {

// Identifies the process in its status.
struct ApiServerIdentity {
  std::string version;
  ZoneName zone;
};

// State of the daemon, as reported by its other threads.
struct ApiServerState {
  // Why the daemon is not ready; empty if it is ready.
  std::vector<std::string> not_ready_reasons = {"starting"};
  ConfigVersion config_version;
};

// HTTP/1.1 server for callers and for the operations endpoints. Runs on the
// frontend thread.
class ApiServer : public ConnectionHost {
 public:
  ApiServer(boost::asio::io_context& context,
            TimerService& timers,
            QueryServiceProxy& query_proxy,
            Tracer& tracer,
            MetricsRegistry& metrics,
            const ApiLimits& limits,
            ApiServerIdentity identity);
  ~ApiServer() override;

  // Starts to accept connections. Returns the bound address, which has the
  // actual port if port 0 was requested.
  Result<boost::asio::ip::tcp::endpoint> Listen(
      const boost::asio::ip::tcp::endpoint& address,
      ListenerRole role);

  void SetState(ApiServerState state) { state_ = std::move(state); }

  // First step of a shutdown: the daemon reports that it is not ready, and each
  // connection closes after its current answer. Connections are still accepted.
  void BeginDrain();
  // Second step: accepts the connections in the listen backlog, stops
  // accepting, closes idle connections and calls `drained` when every request
  // has been answered. The operations address stays open.
  void StopAccepting(std::function<void()> drained);
  // Closes all connections and returns the number of aborted requests.
  std::size_t CloseAll();

  std::size_t connection_count() const { return connections_.size(); }

  // ConnectionHost:
  const ApiLimits& limits() const override { return limits_; }
  TimerService& timers() override { return timers_; }
  QueryServiceProxy& query_proxy() override { return query_proxy_; }
  Tracer& tracer() override { return tracer_; }
  bool draining() const override { return draining_; }
  bool stopping() const override { return stopping_; }
  LocalAnswer AnswerLocally(Endpoint endpoint) override;
  void OnRequest(Endpoint endpoint) override;
  void OnAnswered(int http_status, Duration duration) override;
  void OnError(ErrorKind kind) override;
  void OnAbandoned() override { abandoned_.Add(); }
  void OnClosed(CallerConnection& connection) override;

 private:
  struct Listener {
    Listener(boost::asio::io_context& context, ListenerRole listener_role)
        : acceptor(context), role(listener_role) {}
    boost::asio::ip::tcp::acceptor acceptor;
    ListenerRole role;
  };
  struct Entry {
    std::shared_ptr<CallerConnection> connection;
    ListenerRole role;
    // Over the connection limit; accepted only to answer with an error.
    bool rejected = false;
  };

  void Accept(Listener& listener);
  void OnAccepted(boost::asio::ip::tcp::socket socket, ListenerRole role);
  void AcceptPending(Listener& listener);
  void CheckDrained(const std::function<void()>& drained);
  std::size_t CountConnections(ListenerRole role, bool rejected) const;
  RenderedAnswer RenderReadiness() const;
  RenderedAnswer RenderStatus() const;

  boost::asio::io_context& context_;
  TimerService& timers_;
  QueryServiceProxy& query_proxy_;
  Tracer& tracer_;
  MetricsRegistry& metrics_;
  ApiLimits limits_;
  ApiServerIdentity identity_;
  ApiServerState state_;
  bool draining_ = false;
  bool stopping_ = false;
  std::uint64_t next_connection_ = 1;
  std::vector<std::unique_ptr<Listener>> listeners_;
  std::unordered_map<std::uint64_t, Entry> connections_;
  // Number of connections_ by role and by whether they are rejected.
  std::array<std::array<std::size_t, 2>, 2> connection_counts_{};

  std::array<Counter*, kEndpointCount> requests_{};
  std::array<Counter*, kErrorKindCount> errors_{};
  std::unordered_map<int, Counter*> answers_;
  Summary& request_seconds_;
  Counter& abandoned_;
  Counter& rejected_connections_;
  Gauge& open_connections_;
};

}  // namespace jujubecove
