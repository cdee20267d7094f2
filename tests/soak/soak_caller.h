#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

#include "base/random.h"
#include "http/client_connection.h"
#include "tests/soak/invariant_checker.h"

namespace jujubecove::soak {

// A caller of one daemon that sends one request at a time, each shortly after
// the previous answer. It keeps its connection until the daemon closes it and
// sometimes opens a new one.
class SoakCaller {
 public:
  SoakCaller(boost::asio::io_context& context,
             TimerService& timers,
             InvariantChecker& checker,
             std::size_t daemon,
             SocketAddress address,
             std::uint64_t seed);
  ~SoakCaller() { Close(); }

  void Start() { SendNext(); }

 private:
  void SendNext();
  void Connect();
  void Send();
  CallerRequest MakeRequest();
  void OnFinished(HttpExchange exchange);
  void OnTimeout();
  void Close();
  void ScheduleNext();

  boost::asio::io_context& context_;
  TimerService& timers_;
  InvariantChecker& checker_;
  std::size_t daemon_;
  SocketAddress address_;
  RandomEngine random_;
  int connection_process_number_ = 0;
  std::shared_ptr<ClientConnection> connection_;
  CallerRequest request_;
  TimerId timer_;
};

}  // namespace jujubecove::soak
