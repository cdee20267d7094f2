#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <string>
#include <vector>

#include "settings/socket_address.h"

namespace jujubecove::crowd {

// Connections of callers that send and do not read.
class CallerCrowd {
 public:
  // Opens connections with small receive buffers and small segments.
  void Open(const SocketAddress& address, std::size_t count);
  // Sends `first`, and then `repeated` this many times, on each connection at
  // the same time, until the daemon takes no more bytes or has closed.
  void Send(const std::string& first,
            const std::string& repeated,
            std::size_t times);
  // Closes the sending side of each connection.
  void ShutDownSending();
  // Reads until the daemon closes or sends nothing for a while. Returns the
  // connections on which `text` was received.
  std::size_t CountReceived(const std::string& text);

 private:
  boost::asio::io_context context_;
  std::vector<boost::asio::ip::tcp::socket> sockets_;
};

}  // namespace jujubecove::crowd
