#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <memory>
#include <vector>

#include "kernel/timer_service.h"

namespace jujubecove::soak {

// Forwards TCP connections on the loopback address and injects network faults.
class FaultProxy {
 public:
  FaultProxy(boost::asio::io_context& context, TimerService& timers);
  ~FaultProxy();

  std::uint16_t port() const { return acceptor_.local_endpoint().port(); }
  // Where new connections lead; without one they are closed at once.
  void set_target(std::uint16_t port) { options_->target = port; }
  // Each chunk of bytes waits so long.
  void set_delay(Duration delay) { options_->delay = delay; }
  // Holds the bytes of these directions back until they are let through again.
  void Cut(bool to_server, bool to_client);
  // The connections that are open now forward nothing any more and stay open;
  // new ones work.
  void Silence();
  // Resets the connections that are open now.
  void ResetConnections();
  // Ends delays and cuts.
  void Heal();

 private:
  class Link;
  struct Options {
    std::uint16_t target = 0;
    Duration delay{};
    bool cut_to_server = false;
    bool cut_to_client = false;
  };

  void Accept();
  std::vector<std::shared_ptr<Link>> Links();

  boost::asio::io_context& context_;
  TimerService& timers_;
  std::shared_ptr<Options> options_ = std::make_shared<Options>();
  boost::asio::ip::tcp::acceptor acceptor_;
  std::vector<std::weak_ptr<Link>> links_;
};

}  // namespace jujubecove::soak
