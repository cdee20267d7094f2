#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <memory>
#include <vector>

#include "kernel/timer_service.h"

namespace jujubecove::soak {

// A TCP proxy on the loopback address that injects network faults.
class FaultProxy {
 public:
  FaultProxy(boost::asio::io_context& context, TimerService& timers);
  ~FaultProxy();

  std::uint16_t port() const { return acceptor_.local_endpoint().port(); }
  // Port to which new connections are forwarded. While it is 0, they are reset.
  void set_target(std::uint16_t port) { options_->target = port; }
  // Delays each chunk of bytes.
  void set_delay(Duration delay) { options_->delay = delay; }
  // Buffers the bytes of these directions until Heal().
  void Block(bool to_server, bool to_client);
  // Drops all further bytes on the open connections without closing them. New
  // connections work.
  void Silence();
  // Resets all open connections.
  void ResetConnections();
  // Ends delays and blocks. Silenced connections stay silent.
  void Heal();

 private:
  class Connection;
  struct Options {
    std::uint16_t target = 0;
    Duration delay{};
    bool block_to_server = false;
    bool block_to_client = false;
  };

  void Accept();
  std::vector<std::shared_ptr<Connection>> OpenConnections();

  boost::asio::io_context& context_;
  TimerService& timers_;
  std::shared_ptr<Options> options_ = std::make_shared<Options>();
  boost::asio::ip::tcp::acceptor acceptor_;
  std::vector<std::weak_ptr<Connection>> connections_;
};

}  // namespace jujubecove::soak
