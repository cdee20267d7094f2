#include "front/front_daemon.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <csignal>
#include <map>
#include <memory>
#include <thread>
#include <vector>

#include "tests/standin/kv_server.h"
#include "tests/standin/platform_searcher.h"

namespace jujubecove {
namespace {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using std::chrono::milliseconds;
using testing::HasSubstr;

constexpr char kConfig[] = R"({"Version": 1, "Routes": [
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

struct Reply {
  unsigned status = 0;
  std::string body;
  std::map<std::string, std::string> headers;
};

// Runs the daemon in this process, and the store and searchers on another
// thread.
class FrontDaemonTest : public testing::Test {
 protected:
  FrontDaemonTest() : timers_(server_context_), store_(server_context_, 0) {
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
    config_.store_call_timeout = milliseconds(500);
    config_.store_watch_wait = milliseconds(1000);
    config_.drain_grace = std::chrono::seconds(6);
    config_.max_connections = 100;
    config_.log_level = LogLevel::kOff;
    config_.dispatch.own_zone = config_.zone;
    config_.dispatch.retry_budget.slack = 100.0;
  }
  ~FrontDaemonTest() override {
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
    tcp::acceptor probe(
        context, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
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
      std::this_thread::sleep_for(milliseconds(10));
    }
    return false;
  }
  bool AwaitReady() {
    return Await([this] {
      return Get(config_.listen_readiness, "/v1/ready").status == 200;
    });
  }

  static Reply Get(const SocketAddress& address,
                   const std::string& target,
                   const std::string& id = "r1") {
    boost::asio::io_context context;
    tcp::socket socket(context);
    boost::system::error_code ec;
    socket.connect(
        tcp::endpoint(boost::asio::ip::make_address(address.ip), address.port),
        ec);
    http::request<http::string_body> request(http::verb::get, target, 11);
    request.set(http::field::host, "h");
    request.set("Request-Id", id);
    request.set("Deadline-Ms", "1500");
    http::write(socket, request, ec);
    boost::beast::flat_buffer buf;
    http::response_parser<http::string_body> parser;
    http::read(socket, buf, parser, ec);
    Reply reply;
    if (ec)
      return reply;
    const http::response<http::string_body>& response = parser.get();
    reply.status = response.result_int();
    reply.body = response.body();
    for (const auto& it : response.base())
      reply.headers[std::string(it.name_string())] = std::string(it.value());
    return reply;
  }
  Reply SendRequest(const std::string& target) {
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

TEST_F(FrontDaemonTest, ServesScatterAndSingleRoutes) {
  store_.store().Set("op/config", kConfig);
  Start();
  ASSERT_TRUE(AwaitReady());
  Reply scatter = SendRequest("/g/1");
  EXPECT_EQ(scatter.status, 200U);
  EXPECT_EQ(scatter.headers["Missing-Parts"], "0");
  EXPECT_THAT(scatter.headers["Part-Stamps"], HasSubstr("b.0.r1"));
  EXPECT_EQ(scatter.body.size(), 32U);
  Reply single = SendRequest("/s/1");
  EXPECT_EQ(single.status, 200U);
  EXPECT_THAT(single.headers["Response-Stamp"], HasSubstr(".r1"));
  EXPECT_EQ(SendRequest("/x/1").status, 404U);
  Reply metrics = Get(config_.listen_metrics, "/metrics");
  EXPECT_THAT(metrics.body,
              HasSubstr("jujubecove_requests_total{kind=\"scatter\","
                        "outcome=\"answered\"} 1"));
  EXPECT_THAT(metrics.body, HasSubstr("jujubecove_config_version 1"));
}

// Guards against answering 404 before the configuration is known.
TEST_F(FrontDaemonTest, IsNotReadyWithoutConfiguration) {
  Start();
  ASSERT_TRUE(Await([this] { return SendRequest("/g/1").status == 503; }));
  EXPECT_FALSE(SendRequest("/g/1").headers["Retry-After"].empty());
  EXPECT_EQ(Get(config_.listen_readiness, "/v1/ready").status, 503U);
  RunOnServerThread([this] { store_.store().Set("op/config", kConfig); });
  EXPECT_TRUE(AwaitReady());
}

// Guards against sending new requests to a searcher that is draining.
TEST_F(FrontDaemonTest, SendsNoNewRequestsToDrainingSearcher) {
  store_.store().Set("op/config", kConfig);
  Start();
  ASSERT_TRUE(AwaitReady());
  SendRequest("/s/1");
  RunOnServerThread(
      [this] { Register(*searchers_[0], SearcherState::kDraining); });
  std::this_thread::sleep_for(milliseconds(600));
  int before = searchers_[0]->runs();
  for (int n = 0; n < 10; ++n)
    EXPECT_EQ(SendRequest("/s/1").status, 200U);
  EXPECT_EQ(searchers_[0]->runs(), before);
}

// Guards against a shutdown that cuts off an answer.
TEST_F(FrontDaemonTest, FinishesInFlightRequestsAfterSignal) {
  store_.store().Set("op/config", kConfig);
  Start();
  ASSERT_TRUE(AwaitReady());
  for (const auto& it : searchers_)
    it->set_service_time(milliseconds(800));
  std::thread caller([this] { EXPECT_EQ(SendRequest("/s/1").status, 200U); });
  std::this_thread::sleep_for(milliseconds(200));
  raise(SIGTERM);
  std::this_thread::sleep_for(milliseconds(100));
  EXPECT_EQ(Get(config_.listen_readiness, "/v1/ready").status, 503U);
  caller.join();
  daemon_thread_.join();
  EXPECT_EQ(exit_code_, 0);
}

}  // namespace
}  // namespace jujubecove
