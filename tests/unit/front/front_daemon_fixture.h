#pragma once

#include <gtest/gtest.h>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <csignal>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "front/front_daemon.h"
#include "tests/standin/kv_server.h"
#include "tests/standin/platform_searcher.h"

namespace jujubecove {

inline constexpr char kConfig[] = R"({"Version": 1, "Routes": [
  {"Name": "g", "Host": "h", "Prefix": "/g/", "Kind": "idempotent",
   "TimeoutMs": 2000, "TargetLatencyMs": 200, "MaxAttempts": 2, "TopK": 2,
   "MinShardShare": 0.5, "Gather": ["a", "b"]},
  {"Name": "s", "Host": "h", "Prefix": "/s/", "Kind": "non_idempotent",
   "TimeoutMs": 2000, "TargetLatencyMs": 200, "MaxAttempts": 2,
   "Service": "a"}],
  "Services": [{"Name": "a", "MaxConnections": 26},
               {"Name": "b", "MaxConnections": 26}],
  "Limits": {"MaxHeaderBytes": 8192, "MaxBodyBytes": 1000,
             "HeaderTimeoutMs": 1000, "IdleTimeoutMs": 5000}})";

struct FrontReply {
  unsigned status = 0;
  std::string body;
  std::map<std::string, std::string> headers;
};

// Runs the daemon in this process, and the store and searchers on another
// thread.
class FrontDaemonFixture : public testing::Test {
 protected:
  FrontDaemonFixture() : timers_(server_context_), store_(server_context_, 0) {
    for (const auto& [service, id] :
         {std::pair<std::string, std::string>{"a", "a.0"},
          {"a", "a.1"},
          {"b", "b.0"}}) {
      searchers_.push_back(std::make_unique<PlatformSearcher>(
          server_context_, timers_, service, id, 0));
      Register(*searchers_.back(), SearcherState::kReady);
    }
    config_.vm = VmId("front-1");
    config_.zone = ZoneName("nyeri");
    config_.listen_callers = FreeAddress();
    config_.listen_readiness = FreeAddress();
    config_.listen_metrics = FreeAddress();
    config_.store = SocketAddress{"127.0.0.1", store_.port()};
    config_.store_call_timeout = std::chrono::milliseconds(500);
    config_.store_watch_wait = std::chrono::milliseconds(1000);
    config_.drain_grace = std::chrono::seconds(6);
    config_.max_connections = 100;
    config_.log_level = LogLevel::kOff;
    config_.dispatch.own_zone = config_.zone;
    config_.dispatch.retry_budget.slack = 100.0;
  }
  ~FrontDaemonFixture() override { StopAll(); }

  // Ends the daemon and the thread of the store and the searchers.
  void StopAll() {
    if (daemon_thread_.joinable()) {
      raise(SIGTERM);
      daemon_thread_.join();
    }
    server_context_.stop();
    if (server_thread_.joinable())
      server_thread_.join();
  }

  void Register(const PlatformSearcher& searcher, SearcherState state) {
    store_.store().Set(searcher.Key(), searcher.Registration(state));
  }
  // Runs `action` on the thread of the store and the searchers.
  void RunOnServerThread(std::function<void()> action) {
    boost::asio::post(server_context_, std::move(action));
  }

  static SocketAddress FreeAddress() {
    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor probe(
        context, boost::asio::ip::tcp::endpoint(
                     boost::asio::ip::make_address("127.0.0.1"), 0));
    return SocketAddress{"127.0.0.1", probe.local_endpoint().port()};
  }

  void Start() {
    server_thread_ = std::thread([this] { server_context_.run(); });
    daemon_ = std::make_unique<FrontDaemon>(config_, "/nonexistent");
    ASSERT_TRUE(daemon_->Start());
    daemon_thread_ = std::thread([this] { exit_code_ = daemon_->Run(); });
  }
  bool Await(const std::function<bool()>& condition) {
    for (int n = 0; n < 500; ++n) {
      if (condition())
        return true;
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    return false;
  }
  bool AwaitReady() {
    return Await([this] {
      return Get(config_.listen_readiness, "/v1/ready").status == 200;
    });
  }

  static FrontReply Get(const SocketAddress& address,
                        const std::string& target,
                        const std::string& id = "r1",
                        int deadline_ms = 1500,
                        const HeaderFields& fields = {}) {
    boost::asio::io_context context;
    boost::asio::ip::tcp::socket socket(context);
    boost::system::error_code ec;
    socket.connect(boost::asio::ip::tcp::endpoint(
                       boost::asio::ip::make_address(address.ip), address.port),
                   ec);
    boost::beast::http::request<boost::beast::http::string_body> request(
        boost::beast::http::verb::get, target, 11);
    request.set(boost::beast::http::field::host, "h");
    request.set("Request-Id", id);
    request.set("Deadline-Ms", std::to_string(deadline_ms));
    for (const HeaderField& it : fields)
      request.insert(it.name, it.value);
    boost::beast::http::write(socket, request, ec);
    boost::beast::flat_buffer buf;
    boost::beast::http::response_parser<boost::beast::http::string_body> parser;
    boost::beast::http::read(socket, buf, parser, ec);
    FrontReply reply;
    if (ec)
      return reply;
    const boost::beast::http::response<boost::beast::http::string_body>&
        response = parser.get();
    reply.status = response.result_int();
    reply.body = response.body();
    for (const auto& it : response.base())
      reply.headers[std::string(it.name_string())] = std::string(it.value());
    return reply;
  }
  FrontReply SendRequest(const std::string& target) {
    return Get(config_.listen_callers, target);
  }

  boost::asio::io_context server_context_;
  AsioTimerService timers_;
  KvServer store_;
  std::vector<std::unique_ptr<PlatformSearcher>> searchers_;
  std::thread server_thread_;
  FrontConfig config_;
  std::unique_ptr<FrontDaemon> daemon_;
  std::thread daemon_thread_;
  int exit_code_ = -1;
};

}  // namespace jujubecove
