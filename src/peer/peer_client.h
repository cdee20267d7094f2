#pragma once

#include <map>
#include <memory>
#include <string>

#include "http/http_client.h"

namespace jujubecove {

// Calls other entry daemons over kept connections, at most a few of which stay
// open to daemons that are not called any more.
class PeerClient {
 public:
  PeerClient(boost::asio::io_context& context, TimerService& timers)
      : context_(context), timers_(timers) {}

  // Calls `done` once. There is no reply if none came within `timeout`.
  void Call(const SocketAddress& peer,
            const std::string& method,
            const std::string& target,
            const std::string& body,
            Duration timeout,
            HttpClient::Done done);

 private:
  struct Peer {
    std::unique_ptr<HttpClient> client;
    TimePoint last_call{};
  };

  void EvictUnused();

  boost::asio::io_context& context_;
  TimerService& timers_;
  // By address.
  std::map<std::string, Peer> peers_;
};

}  // namespace jujubecove
