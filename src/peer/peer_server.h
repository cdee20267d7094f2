#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>

#include "base/units.h"
#include "peer/peer_transport.h"

namespace jujubecove {

struct PeerServerOptions {
  boost::asio::ip::tcp::endpoint endpoint;
  // A connection beyond this closes the one that was idle for longest.
  std::size_t max_connections = 1024;
  // Calls of one connection that are executed at once. Reading stops at the
  // limit.
  std::size_t max_calls = 256;
  // Bound on the time without a whole frame while one has begun, or while a
  // reply can't be written.
  Duration stall_timeout{5'000'000};
  // Longer than the longest deadline of a kind, so that it cuts off no call.
  Duration idle_timeout{120'000'000};
};

// Serves the calls of other daemons on the thread that runs `context`. A frame
// that can't be decoded closes its connection.
class PeerServer {
 public:
  PeerServer(boost::asio::io_context& context,
             PeerServerOptions options,
             PeerHandler& handler);
  // Closes every connection; replies that are still due are dropped.
  ~PeerServer();

  std::uint16_t port() const;
  std::size_t connection_count() const;

 private:
  class Connection;
  struct State;

  void Accept();

  std::shared_ptr<State> state_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer retry_timer_;
};

}  // namespace jujubecove
