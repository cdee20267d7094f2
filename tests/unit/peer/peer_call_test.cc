#include <gtest/gtest.h>

#include <optional>

#include "kernel/asio_timer_service.h"
#include "peer/peer_client.h"
#include "peer/peer_server.h"

namespace jujubecove {
namespace {

class PeerCallTest : public testing::Test {
 protected:
  PeerCallTest()
      : timers_(context_),
        server_(context_, timers_, 8),
        client_(context_, timers_) {}

  static SocketAddress FreeAddress() {
    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor probe(
        context, boost::asio::ip::tcp::endpoint(
                     boost::asio::ip::make_address("127.0.0.1"), 0));
    return SocketAddress{"127.0.0.1", probe.local_endpoint().port()};
  }

  HttpExchange Call(const SocketAddress& address, const std::string& target) {
    std::optional<HttpExchange> result;
    client_.Call(address, "POST", target, "{}", std::chrono::seconds(2),
                 [&](HttpExchange exchange) { result = std::move(exchange); });
    while (!result)
      context_.run_one();
    return std::move(*result);
  }

  boost::asio::io_context context_;
  AsioTimerService timers_;
  PeerServer server_;
  PeerClient client_;
};

TEST_F(PeerCallTest, AnswersCallLater) {
  SocketAddress address = FreeAddress();
  ASSERT_TRUE(server_.Listen(address));
  server_.Handle(
      "/echo", [this](const PeerRequest& request, PeerServer::Done done) {
        timers_.ScheduleAfter(std::chrono::milliseconds(5),
                              [request, done = std::move(done)] {
                                done({200, request.query + request.body});
                              });
      });
  HttpExchange exchange = Call(address, "/echo?a=1");
  ASSERT_TRUE(exchange.reply);
  EXPECT_EQ(exchange.reply->body, "a=1{}");
  EXPECT_EQ(Call(address, "/other").reply->status, 404);
}

// Guards against a caller that waits for a daemon that is gone.
TEST_F(PeerCallTest, FailsWhenNobodyListens) {
  EXPECT_FALSE(Call(FreeAddress(), "/echo").reply);
}

}  // namespace
}  // namespace jujubecove
