#include <gtest/gtest.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "kernel/asio_timer_service.h"
#include "kernel/fake_timer_service.h"
#include "peer/peer_client.h"
#include "peer/peer_codec.h"
#include "peer/peer_server.h"

namespace jujubecove {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

tcp::endpoint Loopback(std::uint16_t port) {
  return tcp::endpoint(asio::ip::address_v4::loopback(), port);
}

class EchoHandler : public PeerHandler {
 public:
  wire::ExchangeMessage OnExchange(
      const wire::ExchangeMessage& message) override {
    return message;
  }
  wire::DocumentReply OnFetchDelta(ConfigVersion from,
                                   ConfigVersion to) override {
    wire::DocumentReply reply;
    reply.found = true;
    reply.version = static_cast<std::int64_t>(from.value() * 100 + to.value());
    return reply;
  }
  wire::DocumentReply OnFetchDocument(ConfigVersion) override {
    wire::DocumentReply reply;
    reply.content = std::string(document_size, 'd');
    return reply;
  }
  void OnExecute(const wire::ForwardRequest& request,
                 ForwardResponder respond) override {
    executed.push_back(request.kind);
    responders.push_back(std::move(respond));
  }

  std::size_t document_size = 1;
  std::vector<std::string> executed;
  std::vector<ForwardResponder> responders;
};

class PeerSocketTest : public testing::Test {
 protected:
  PeerSocketTest()
      : server_(std::in_place,
                context_,
                PeerServerOptions{.endpoint = Loopback(0)},
                handler_),
        address_("127.0.0.1:" + std::to_string(server_->port())),
        client_(context_, timers_, PeerClientOptions{}) {}

  template <typename T>
  T Wait(std::optional<T>& value) {
    while (!value)
      context_.run_one();
    return *std::exchange(value, std::nullopt);
  }

  asio::io_context context_;
  FakeTimerService timers_;
  EchoHandler handler_;
  std::optional<PeerServer> server_;
  std::string address_;
  PeerClient client_;
  std::optional<PeerStatus> status_;
};

// Guards against replies being handed to the wrong call when they come back in
// another order than they were asked for.
TEST_F(PeerSocketTest, RepliesMatchTheirCallsInAnyOrder) {
  std::vector<std::string> bodies(2);
  for (int n = 0; n < 2; ++n) {
    wire::ForwardRequest request;
    request.kind = "kind" + std::to_string(n);
    client_.Execute(address_, request, Duration(1'000'000),
                    [&bodies, n](PeerResult<wire::ForwardReply> result) {
                      bodies[n] = result.value.body;
                    });
  }
  std::optional<std::int64_t> version;
  client_.FetchDelta(address_, ConfigVersion(3), ConfigVersion(4),
                     [&version](PeerResult<wire::DocumentReply> result) {
                       version = result.value.version;
                     });
  EXPECT_EQ(Wait(version), 304);
  ASSERT_EQ(handler_.executed, (std::vector<std::string>{"kind0", "kind1"}));
  for (int n : {1, 0}) {
    wire::ForwardReply reply;
    reply.body = handler_.executed[n];
    handler_.responders[n](reply);
  }
  while (bodies[0].empty() || bodies[1].empty())
    context_.run_one();
  EXPECT_EQ(bodies, handler_.executed);
}

// Guards against a call whose outcome is unknown being reported as not sent,
// and the reverse.
TEST_F(PeerSocketTest, StatusSaysWhetherTheCallWasSent) {
  auto execute = [this](const std::string& address) {
    client_.Execute(address, wire::ForwardRequest(), Duration(1'000'000),
                    [this](PeerResult<wire::ForwardReply> result) {
                      status_ = result.status;
                    });
  };
  execute("not an address");
  EXPECT_EQ(Wait(status_), PeerStatus::kNotSent);
  execute(address_);
  while (handler_.responders.empty())
    context_.run_one();
  timers_.AdvanceBy(Duration(1'000'000));
  EXPECT_EQ(Wait(status_), PeerStatus::kUnknown);
  server_.reset();
  execute(address_);
  EXPECT_EQ(Wait(status_), PeerStatus::kNotSent);
}

// Guards against a reply that no client may read, and against a dead connection
// after it.
TEST_F(PeerSocketTest, OversizedReplyIsAnErrorOfItsCallOnly) {
  handler_.document_size = kMaxPeerMessageBytes;
  auto fetch = [this] {
    client_.FetchDocument(address_, ConfigVersion(1),
                          [this](PeerResult<wire::DocumentReply> result) {
                            status_ = result.status;
                          });
  };
  fetch();
  EXPECT_EQ(Wait(status_), PeerStatus::kUnknown);
  handler_.document_size = 1024UL * 1024;
  fetch();
  EXPECT_EQ(Wait(status_), PeerStatus::kDone);
  EXPECT_EQ(server_->connection_count(), 1U);
}

// Guards against a client that sends bytes of another protocol holding on to a
// connection or ending the process.
TEST_F(PeerSocketTest, BadFrameClosesItsConnection) {
  std::string valid = EncodeCall(PeerCall());
  std::vector<std::string> inputs = {
      "GET / HTTP/1.1\r\n\r\n", std::string(64, '\0'), std::string(64, '\xff'),
      std::string("\0\0\0\x05hello", 9),
      valid.substr(0, valid.size() - 1) + "x"};
  for (const std::string& input : inputs) {
    tcp::socket socket(context_);
    socket.connect(Loopback(server_->port()));
    asio::write(socket, asio::buffer(input));
    char byte = 0;
    std::optional<boost::system::error_code> ended;
    socket.async_read_some(
        asio::buffer(&byte, 1),
        [&ended](boost::system::error_code ec, std::size_t) { ended = ec; });
    EXPECT_TRUE(Wait(ended)) << input;
  }
}

// Guards against connections of daemons that are gone staying open for ever.
TEST_F(PeerSocketTest, IdleConnectionsAreClosed) {
  client_.Exchange(address_, wire::ExchangeMessage(),
                   [this](PeerResult<wire::ExchangeMessage> result) {
                     status_ = result.status;
                   });
  EXPECT_EQ(Wait(status_), PeerStatus::kDone);
  EXPECT_EQ(client_.connection_count(), 1U);
  timers_.AdvanceBy(Duration(30'000'000));
  EXPECT_EQ(client_.connection_count(), 0U);
}

}  // namespace
}  // namespace jujubecove
