#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/json/object.hpp>
#include <cstdint>
#include <string>

#include "kernel/asio_timer_service.h"
#include "tests/standin/admin_server.h"
#include "tests/standin/fake_kv_store.h"

namespace jujubecove {

// Serves a FakeKvStore over the platform's HTTP protocol.
class KvServer {
 public:
  KvServer(boost::asio::io_context& context, std::uint16_t port);

  FakeKvStore& store() { return store_; }
  std::uint16_t port() const { return server_.port(); }
  // Registers the searchers of a list {"vms": [{"id", "address", "zone",
  // "service", "leaving"}]}. Returns false when the list is malformed.
  bool RegisterSearchers(std::string_view list);

 private:
  using Respond = standin::AdminServer::Respond;

  void Handle(const std::string& method,
              const std::string& target,
              const std::string& body,
              const Respond& respond);
  void HandleRead(const std::string& target, const Respond& respond);
  void HandleWrite(const boost::json::object& body, const Respond& respond);

  AsioTimerService timers_;
  FakeKvStore store_;
  standin::AdminServer server_;
  std::int64_t heartbeat_ = 0;
};

}  // namespace jujubecove
