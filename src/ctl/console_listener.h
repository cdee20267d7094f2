#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <chrono>
#include <cstdint>

#include "ctl/console_handler.h"

namespace jujubecove {

struct ConsoleLimits {
  std::uint32_t header_bytes = 16 * 1024;
  std::uint64_t body_bytes = 4UL * 1024 * 1024;
  // Applies to reading a request, and again to writing its answer.
  std::chrono::milliseconds request_timeout{10'000};
};

// Accepts connections on 127.0.0.1, each for one request.
class ConsoleListener {
 public:
  ConsoleListener(boost::asio::io_context& io, ConsoleLimits limits);

  // Port 0 selects any free port. Returns false on failure.
  bool Listen(std::uint16_t port);
  boost::asio::ip::tcp::endpoint endpoint() const {
    return acceptor_.local_endpoint();
  }
  void Start(ConsoleHandler& handler);

 private:
  boost::asio::awaitable<void> Accept(ConsoleHandler& handler);
  // Reads one request, answers it and closes the connection.
  boost::asio::awaitable<void> Serve(boost::beast::tcp_stream stream,
                                     ConsoleHandler& handler);

  boost::asio::ip::tcp::acceptor acceptor_;
  ConsoleLimits limits_;
};

}  // namespace jujubecove
