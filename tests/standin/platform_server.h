#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "kernel/asio_timer_service.h"
#include "tests/standin/store_model.h"

namespace jujubecove {

// The platform protocol of docs/design.md over HTTP, for tests and for the
// standin_platform program. Also serves the admin endpoints of that program.
class PlatformServer {
 public:
  using Request = boost::beast::http::request<boost::beast::http::string_body>;
  using Response =
      boost::beast::http::response<boost::beast::http::string_body>;
  // Called once; nothing closes the connection instead of answering.
  using Responder = std::function<void(std::optional<Response>)>;

  PlatformServer(boost::asio::io_context& context,
                 const boost::asio::ip::tcp::endpoint& endpoint,
                 std::uint64_t seed);

  std::uint16_t port() const;
  StoreModel& model() { return model_; }
  TimePoint Now() const { return timers_.Now(); }
  // Accepts a body of /admin/vms; false when it is malformed.
  bool SetVms(std::string_view body);

  void Handle(const Request& request, const Responder& respond);

 private:
  struct Target;
  struct Waiter {
    std::string key;
    StoreRevision after;
    TimerId timer;
    std::function<void(Response)> done;
  };

  static Target ParseTarget(std::string_view text);
  void Accept();
  // Runs `effect` with the model's latency and loss.
  void Serve(StoreCall call,
             std::function<Response()> effect,
             const Responder& respond);
  void HandleKv(const Request& request,
                const Target& target,
                const Responder& respond);
  void HandleLease(const Request& request, const Responder& respond);
  void HandleWatch(const Target& target, const Responder& respond);
  void HandleVms(const Target& target, const Responder& respond);
  void HandleAdmin(const Request& request,
                   const Target& target,
                   const Responder& respond);
  Response SetFaults(std::string_view body);
  Response Counters() const;
  void OnWrite(const std::string& key);
  void EndWait(std::uint64_t id, Response response);

  AsioTimerService timers_;
  StoreModel model_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::uint64_t next_waiter_ = 1;
  std::map<std::uint64_t, Waiter> waiters_;
};

}  // namespace jujubecove
