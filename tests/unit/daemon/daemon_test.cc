#include "daemon/daemon.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <signal.h>
#include <unistd.h>

#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <thread>

#include "daemon/exit_code.h"
#include "tests/standin/kv_server.h"
#include "tests/standin/searcher_fleet_server.h"

namespace jujubecove {
namespace {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;

constexpr std::uint16_t kPortCount = 6;

bool IsFree(std::uint16_t port) {
  boost::asio::io_context context;
  tcp::acceptor acceptor(context);
  boost::system::error_code ec;
  acceptor.open(tcp::v4(), ec);
  acceptor.bind(tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), port),
                ec);
  return !ec;
}

// Returns the first of kPortCount consecutive free ports below the ephemeral
// range. The search starts at a port derived from the process id, because the
// same test can run in several worktrees at once.
std::uint16_t FindFreePorts() {
  std::uint16_t first =
      static_cast<std::uint16_t>(10'000 + getpid() % 2'000 * 10);
  for (;; first += kPortCount) {
    std::uint16_t free = 0;
    while (free < kPortCount && IsFree(first + free))
      ++free;
    if (free == kPortCount)
      return first;
  }
}

struct Reply {
  unsigned status = 0;
  std::string body;
};

// Runs a daemon in this process, with stand-ins for the platform and for
// searchers that take `service_ms` for a request.
class DaemonTest : public testing::Test {
 protected:
  void StartAll(int service_ms, Duration limit) {
    fleet_ = std::make_unique<standin::SearcherFleetServer>(
        1, port_ + 2, std::vector<std::string>{"nyeri"}, 1);
    fleet_->AddService(
        standin::ParseFleetServiceSpec("weighbridge:2:2:4:25:1000:" +
                                       std::to_string(service_ms * 1000))
            .value());
    fleet_->Start();
    platform_ = std::make_unique<KvServer>(platform_context_, 0);
    ASSERT_TRUE(platform_->RegisterSearchers(fleet_->VmListJson()));
    platform_thread_ = std::thread([this] { platform_context_.run(); });
    config_.vm = VmId("entry-0");
    config_.zone = ZoneName("nyeri");
    config_.listen_callers = SocketAddress{"127.0.0.1", port_};
    config_.platform = SocketAddress{"127.0.0.1", platform_->port()};
    config_.shutdown_grace = Duration(0);
    config_.shutdown_limit = limit;
    config_.outstanding_attempts = 1'024;
    config_.telemetry_ring_capacity = 1'024;
    config_.log_levels.fill(LogLevel::kOff);
    daemon_ = std::make_unique<Daemon>(config_, "test");
  }

  static std::shared_ptr<const Document> MakeDocument() {
    std::shared_ptr<Document> document = std::make_shared<Document>();
    document->version = ConfigVersion(3);
    ServiceSpec service;
    service.name = ServiceName("weighbridge");
    service.shards = 2;
    service.replicas = 2;
    service.slots = 4;
    document->services[service.name] = service;
    KindSpec kind;
    kind.name = KindName("payout-search");
    kind.service = service.name;
    kind.deadline = std::chrono::seconds(20);
    kind.hedge = false;
    document->kinds[kind.name] = kind;
    return document;
  }

  void TearDown() override {
    daemon_.reset();
    platform_context_.stop();
    if (platform_thread_.joinable())
      platform_thread_.join();
    if (fleet_)
      fleet_->Stop();
  }

  void Send(tcp::socket& socket, const std::string& start_line) {
    socket.connect(
        tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), port_));
    boost::asio::write(
        socket, boost::asio::buffer(start_line + " HTTP/1.1\r\nHost: x\r\n"
                                                 "Content-Length: 0\r\n\r\n"));
  }

  static Reply Receive(tcp::socket& socket) {
    boost::beast::flat_buffer buf;
    http::response<http::string_body> response;
    boost::system::error_code ec;
    http::read(socket, buf, response, ec);
    if (ec)
      return Reply{};
    return Reply{response.result_int(), response.body()};
  }

  Reply Exchange(const std::string& start_line) {
    tcp::socket socket(client_context_);
    Send(socket, start_line);
    return Receive(socket);
  }

  // The bound only keeps a failing test from hanging.
  bool AwaitReady() {
    for (int n = 0; n < 2'000; ++n) {
      if (Exchange("GET /readyz").status == 200)
        return true;
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    return false;
  }

  std::uint16_t port_ = FindFreePorts();
  boost::asio::io_context client_context_;
  boost::asio::io_context platform_context_;
  std::unique_ptr<standin::SearcherFleetServer> fleet_;
  std::unique_ptr<KvServer> platform_;
  std::thread platform_thread_;
  DaemonConfig config_;
  std::unique_ptr<Daemon> daemon_;
};

// Guards against a shutdown that cuts off a request in flight or ends with an
// error.
TEST_F(DaemonTest, FinishesInFlightRequestsAfterSignal) {
  StartAll(400, std::chrono::seconds(30));
  ASSERT_TRUE(daemon_->Start(MakeDocument()));
  ASSERT_TRUE(AwaitReady());
  tcp::socket caller(client_context_);
  Send(caller, "POST /v1/query/payout-search");
  // Waits until the request has arrived.
  while (Exchange("GET /v1/status").body.find("\"in_flight\":1") ==
         std::string::npos)
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  raise(SIGTERM);
  EXPECT_EQ(daemon_->Run(), kExitOk);
  Reply reply = Receive(caller);
  EXPECT_EQ(reply.status, 200U);
  EXPECT_THAT(reply.body, testing::HasSubstr("\"config_version\":3"));
  EXPECT_THAT(reply.body, testing::HasSubstr("\"covered_share\":1"));
}

// Guards against a shutdown that never ends, and against an exit code that
// hides that requests were cut off.
TEST_F(DaemonTest, CutsOffRequestsAtShutdownLimit) {
  StartAll(10'000, std::chrono::milliseconds(50));
  ASSERT_TRUE(daemon_->Start(MakeDocument()));
  ASSERT_TRUE(AwaitReady());
  tcp::socket caller(client_context_);
  Send(caller, "POST /v1/query/payout-search");
  while (Exchange("GET /v1/status").body.find("\"in_flight\":1") ==
         std::string::npos)
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  raise(SIGTERM);
  EXPECT_EQ(daemon_->Run(), kExitCutOff);
  EXPECT_EQ(Receive(caller).status, 0U);
}

// Guards against a daemon that accepts requests without a document.
TEST_F(DaemonTest, IsNotReadyWithoutDocument) {
  StartAll(1, std::chrono::seconds(30));
  ASSERT_TRUE(daemon_->Start(nullptr));
  Reply reply;
  for (int n = 0; n < 2'000; ++n) {
    reply = Exchange("GET /readyz");
    if (reply.body.find("starting") == std::string::npos)
      break;
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  EXPECT_EQ(reply.status, 503U);
  EXPECT_THAT(reply.body, testing::HasSubstr("\"status\":\"not_ready\""));
  EXPECT_THAT(reply.body, testing::HasSubstr("document"));
  reply = Exchange("POST /v1/query/payout-search");
  EXPECT_EQ(reply.status, 503U);
  EXPECT_THAT(reply.body, testing::HasSubstr("\"execution\":\"not_run\""));
  raise(SIGTERM);
  EXPECT_EQ(daemon_->Run(), kExitOk);
}

// Guards against a reload that stops the process, and against a malformed file
// that replaces a valid document.
TEST_F(DaemonTest, AppliesReloadedDocumentOnSighup) {
  StartAll(1, std::chrono::seconds(30));
  int loads = 0;
  ASSERT_TRUE(daemon_->Start(
      MakeDocument(), [&loads]() -> Result<std::shared_ptr<const Document>> {
        if (++loads == 1)
          return Error{ErrorKind::kBadRequest, "malformed"};
        auto document = std::make_shared<Document>(*MakeDocument());
        document->version = ConfigVersion(4);
        return std::shared_ptr<const Document>(document);
      }));
  ASSERT_TRUE(AwaitReady());
  std::thread runner([this] { daemon_->Run(); });
  raise(SIGHUP);
  while (loads < 1)
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  EXPECT_THAT(Exchange("GET /v1/status").body,
              testing::HasSubstr("\"config_version\":3"));
  raise(SIGHUP);
  bool changed = false;
  for (int n = 0; n < 2'000 && !changed; ++n) {
    changed = Exchange("GET /v1/status").body.find("\"config_version\":4") !=
              std::string::npos;
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  EXPECT_TRUE(changed);
  raise(SIGTERM);
  runner.join();
}

// Guards against a daemon that keeps running although it can't be reached.
TEST_F(DaemonTest, FailsToStartWhenAddressIsInUse) {
  StartAll(1, std::chrono::seconds(30));
  tcp::acceptor taken(
      client_context_,
      tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), port_));
  EXPECT_FALSE(daemon_->Start(MakeDocument()));
}

}  // namespace
}  // namespace jujubecove
