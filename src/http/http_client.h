#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "http/client_connection.h"
#include "kernel/timer_service.h"

namespace jujubecove {

// Calls one HTTP server over persistent connections, with a timeout for each
// call. Connecting has a shorter timeout of its own, so that a call with a long
// timeout fails quickly if the server is unreachable. A connection on which a
// call failed is not reused.
class HttpClient {
 public:
  // The exchange has no reply if no complete one came in time.
  using Done = std::function<void(HttpExchange)>;

  HttpClient(boost::asio::io_context& context,
             TimerService& timers,
             SocketAddress address,
             std::size_t max_reply_bytes);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  void Call(const std::string& method,
            const std::string& target,
            const std::string& body,
            Duration timeout,
            Done done);
  // Whether no call is in progress.
  bool IsUnused() const { return calls_.empty(); }

 private:
  struct PendingCall {
    std::shared_ptr<ClientConnection> connection;
    std::string head;
    std::shared_ptr<const std::string> body;
    Done done;
    TimerId timer;
    TimerId connect_timer;
  };
  using CallPtr = std::shared_ptr<PendingCall>;

  std::shared_ptr<ClientConnection> TakeIdle();
  // Called after a timeout: the idle connections may be unresponsive too.
  void CloseIdle();
  void Connect(const CallPtr& call);
  TimerId ScheduleTimeout(const CallPtr& call, Duration delay);
  void Send(const CallPtr& call);
  void Finish(const CallPtr& call, HttpExchange exchange);
  void RemoveIdle(const ClientConnection* connection);

  boost::asio::io_context& context_;
  TimerService& timers_;
  SocketAddress address_;
  std::size_t max_reply_bytes_;
  std::vector<std::shared_ptr<ClientConnection>> idle_;
  // Calls in progress; a reply's call is looked up by its connection.
  std::vector<CallPtr> calls_;
};

}  // namespace jujubecove
