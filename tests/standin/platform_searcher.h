#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <memory>
#include <string>

#include "discovery/searcher_entry.h"
#include "kernel/timer_service.h"

namespace jujubecove {

// A searcher that speaks the platform's protocol on the loopback address. It
// answers every request with records that name it, after its service time.
class PlatformSearcher {
 public:
  PlatformSearcher(boost::asio::io_context& context,
                   TimerService& timers,
                   std::string service,
                   std::string id,
                   std::uint16_t port);

  std::uint16_t port() const { return acceptor_.local_endpoint().port(); }
  // Its registration in the store.
  std::string Registration(SearcherState state) const;
  std::string Key() const;
  void set_service_time(Duration time) { state_->service_time = time; }
  // Refuses every request from now on.
  void set_refusing(bool refusing) { state_->refusing = refusing; }
  int runs() const { return state_->runs; }

 private:
  class Session;
  struct State {
    std::string service;
    std::string id;
    Duration service_time = std::chrono::milliseconds(5);
    bool refusing = false;
    int runs = 0;
    int heartbeat = 0;
  };

  void Accept();

  TimerService& timers_;
  std::shared_ptr<State> state_;
  boost::asio::ip::tcp::acceptor acceptor_;
};

}  // namespace jujubecove
