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

#include "base/ids.h"
#include "base/result.h"
#include "frontend/api_limits.h"
#include "frontend/caller_connection.h"
#include "frontend/connection_host.h"
#include "frontend/query_service_proxy.h"
#include "kernel/timer_service.h"
#include "telemetry/metrics.h"
#include "telemetry/tracer.h"

namespace jujubecove {

// What names the process in its status.
struct ApiServerIdentity {
  std::string version;
  ZoneName zone;
};

// What the other threads tell the frontend of the state of the daemon.
struct ApiServerState {
  // Why the daemon is not ready; empty when it is.
  std::vector<std::string> not_ready_reasons = {"starting"};
  ConfigVersion config_version;
};

// The callers' HTTP/1.1 interface and the operations endpoints. Lives on the
// frontend thread.
class ApiServer : public ConnectionHost {
 public:
  ApiServer(boost::asio::io_context& context,
            TimerService& timers,
            QueryServiceProxy& bridge,
            Tracer& tracer,
            MetricsRegistry& metrics,
            const ApiLimits& limits,
            ApiServerIdentity identity);
  ~ApiServer() override;

  // Starts to accept connections and returns the address bound, which tells the
  // port when 0 was asked for.
  Result<boost::asio::ip::tcp::endpoint> Listen(
      const boost::asio::ip::tcp::endpoint& address,
      ListenerRole role);

  void SetState(ApiServerState state) { state_ = std::move(state); }

  // First step of a shutdown: not ready, and each answer closes its connection.
  // Connections are still accepted.
  void BeginDrain();
  // Second step: takes the connections that are waiting to be accepted, accepts
  // no more, closes those that stay idle and calls `drained` when every request
  // has been answered. The operations address stays open.
  void StopAccepting(std::function<void()> drained);
  // Closes everything and returns the number of requests that were cut off.
  std::size_t CloseAll();

  std::size_t connection_count() const { return connections_.size(); }

  // ConnectionHost:
  const ApiLimits& limits() const override { return limits_; }
  TimerService& timers() override { return timers_; }
  QueryServiceProxy& bridge() override { return bridge_; }
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
    // Accepted over the limit, only to be refused.
    bool refused = false;
  };

  void Accept(Listener& listener);
  void OnAccepted(boost::asio::ip::tcp::socket socket, ListenerRole role);
  void AcceptPending(Listener& listener);
  void CheckDrained(const std::function<void()>& drained);
  std::size_t Count(ListenerRole role, bool refused) const;
  RenderedAnswer RenderReadiness() const;
  RenderedAnswer RenderStatus() const;

  boost::asio::io_context& context_;
  TimerService& timers_;
  QueryServiceProxy& bridge_;
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
  // Entries of connections_ by role and by whether they are refused.
  std::array<std::array<std::size_t, 2>, 2> counts_{};

  std::array<Counter*, kEndpointCount> requests_{};
  std::array<Counter*, kErrorKindCount> errors_{};
  std::unordered_map<int, Counter*> answers_;
  Summary& request_seconds_;
  Counter& abandoned_;
  Counter& refused_connections_;
  Gauge& open_connections_;
};

}  // namespace jujubecove
