#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

#include "base/random.h"
#include "http/client_connection.h"
#include "tests/soak/promise_ledger.h"

namespace jujubecove::soak {

// A caller of one daemon with one connection that it keeps until the daemon
// closes it, except that it sometimes opens a new one. It asks again shortly
// after each answer.
class SoakCaller {
 public:
  SoakCaller(boost::asio::io_context& context,
             TimerService& timers,
             PromiseLedger& ledger,
             std::size_t daemon,
             SocketAddress address,
             std::uint64_t seed);
  ~SoakCaller() { Close(); }

  void Start() { Next(); }

 private:
  void Next();
  void Connect();
  void Send();
  Ask MakeAsk();
  void OnFinished(HttpExchange exchange);
  void OnTimeout();
  void Close();
  void Pause();

  boost::asio::io_context& context_;
  TimerService& timers_;
  PromiseLedger& ledger_;
  std::size_t daemon_;
  SocketAddress address_;
  RandomEngine random_;
  int process_of_connection_ = 0;
  std::shared_ptr<ClientConnection> connection_;
  Ask ask_;
  TimerId timer_;
};

}  // namespace jujubecove::soak
