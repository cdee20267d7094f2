#include "ingress/ingress_server.h"

#include <gtest/gtest.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <optional>
#include <vector>

#include "kernel/asio_timer_service.h"
#include "platform/http_protocol.h"

namespace jujubecove {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Records requests, and answers them immediately unless told otherwise.
class RecordingHost : public IngressHost {
 public:
  const IngressLimits& limits() const override { return limits_; }
  std::shared_ptr<PendingRequest> Submit(
      ForwardedRequestPtr request,
      RequestRun::AnswerHandler done) override {
    requests_.push_back(std::move(request));
    if (answer_immediately_) {
      CallerAnswer answer;
      answer.status = 200;
      answer.body = "ok " + requests_.back()->target;
      done(std::move(answer));
    } else {
      pending_answer_ = std::move(done);
    }
    return nullptr;
  }
  bool ClosesConnections() const override { return draining_; }
  void OnRequestRejected(ErrorKind kind, const std::string&) override {
    rejected_.push_back(kind);
  }

  IngressLimits limits_;
  bool answer_immediately_ = true;
  bool draining_ = false;
  std::vector<ForwardedRequestPtr> requests_;
  std::vector<ErrorKind> rejected_;
  RequestRun::AnswerHandler pending_answer_;
};

class IngressServerTest : public testing::Test {
 protected:
  static constexpr std::size_t kMaxConnections = 3;

  IngressServerTest()
      : timers_(context_),
        server_(context_, timers_, host_, protocol_, kMaxConnections),
        client_(context_) {
    host_.limits_.max_header_bytes = 1000;
    host_.limits_.max_body_bytes = 100;
    host_.limits_.header_timeout = milliseconds(300);
    host_.limits_.idle_timeout = milliseconds(1500);
    tcp::acceptor probe(context_, tcp::endpoint(tcp::v4(), 0));
    address_ = SocketAddress{"127.0.0.1", probe.local_endpoint().port()};
    probe.close();
    EXPECT_TRUE(server_.Listen(address_));
    Connect(client_);
  }

  void Connect(tcp::socket& socket) {
    socket.connect(tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"),
                                 address_.port));
    socket.non_blocking(true);
    RunFor(milliseconds(10));
  }

  void RunFor(Duration time) {
    TimePoint limit = timers_.Now() + time;
    while (timers_.Now() < limit)
      context_.run_one_for(milliseconds(2));
  }

  void Write(const std::string& bytes) {
    error_code ignored;
    boost::asio::write(client_, boost::asio::buffer(bytes), ignored);
    RunFor(milliseconds(20));
  }

  // Returns what the client has received and sets `closed_` if the server has
  // closed the connection.
  std::string ReadAll(tcp::socket& socket) {
    std::string text;
    std::array<char, 4096> buf{};
    error_code ec;
    while (!ec) {
      std::size_t size = socket.read_some(boost::asio::buffer(buf), ec);
      text.append(buf.data(), size);
    }
    closed_ = ec != boost::asio::error::would_block;
    return text;
  }

  static std::string Get(const std::string& target) {
    return "GET " + target +
           " HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\nDeadline-Ms: 500\r\n"
           "Connection: keep-alive, X-Hop\r\nX-Hop: 1\r\nX-Kept: 2\r\n\r\n";
  }

  boost::asio::io_context context_;
  AsioTimerService timers_;
  RecordingHost host_;
  platform::PlatformCallerProtocol protocol_;
  IngressServer server_;
  SocketAddress address_;
  tcp::socket client_;
  bool closed_ = false;
};

TEST_F(IngressServerTest, ForwardsRequestWithoutHopByHopFields) {
  Write(Get("/a?b=1"));
  ASSERT_EQ(host_.requests_.size(), 1U);
  const ForwardedRequest& request = *host_.requests_[0];
  EXPECT_EQ(request.target, "/a?b=1");
  EXPECT_EQ(request.id, "r1");
  EXPECT_EQ(request.deadline, Duration(milliseconds(500)));
  EXPECT_EQ(FindHeader(request.headers, "X-Kept"), "2");
  EXPECT_EQ(FindHeader(request.headers, "X-Hop"), "");
  EXPECT_EQ(FindHeader(request.headers, "Connection"), "");
  EXPECT_EQ(FindHeader(request.headers, "Request-Id"), "r1");
}

TEST_F(IngressServerTest, AnswersPipelinedRequestsInOrder) {
  Write(Get("/1") + Get("/2") + Get("/3"));
  std::string text = ReadAll(client_);
  std::size_t first = text.find("ok /1");
  std::size_t second = text.find("ok /2");
  std::size_t third = text.find("ok /3");
  EXPECT_LT(first, second);
  EXPECT_LT(second, third);
  EXPECT_NE(third, std::string::npos);
  EXPECT_FALSE(closed_);
}

struct BadInput {
  const char* name;
  std::string bytes;
  int status;
};

class IngressBadInputTest : public IngressServerTest,
                            public testing::WithParamInterface<BadInput> {};

// Ambiguous input, which a searcher might interpret differently, and unbounded
// input must not be forwarded.
TEST_P(IngressBadInputTest, IsRejectedWithoutBeingForwarded) {
  Write(GetParam().bytes);
  RunFor(milliseconds(1000));
  std::string text = ReadAll(client_);
  EXPECT_TRUE(text.starts_with("HTTP/1.1 " + std::to_string(GetParam().status)))
      << text;
  EXPECT_TRUE(host_.requests_.empty());
  EXPECT_TRUE(closed_);
}

INSTANTIATE_TEST_SUITE_P(
    Inputs,
    IngressBadInputTest,
    testing::Values(
        BadInput{"Garbage", "nonsense\r\n\r\n", 400},
        BadInput{"NoHost", "GET / HTTP/1.1\r\nRequest-Id: r\r\n\r\n", 400},
        BadInput{"TwoHosts",
                 "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n"
                 "Request-Id: r\r\n\r\n",
                 400},
        BadInput{"NoId", "GET / HTTP/1.1\r\nHost: a\r\n\r\n", 400},
        BadInput{"LengthAndChunks",
                 "POST / HTTP/1.1\r\nHost: a\r\nRequest-Id: r\r\n"
                 "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n"
                 "0\r\n\r\n",
                 400},
        BadInput{"TwoLengths",
                 "POST / HTTP/1.1\r\nHost: a\r\nRequest-Id: r\r\n"
                 "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
                 400},
        BadInput{"UnknownEncoding",
                 "POST / HTTP/1.1\r\nHost: a\r\nRequest-Id: r\r\n"
                 "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
                 400},
        BadInput{"LargeHeader",
                 "GET / HTTP/1.1\r\nHost: a\r\nX: " + std::string(2000, 'x') +
                     "\r\n\r\n",
                 431},
        BadInput{"LargeBody",
                 "POST / HTTP/1.1\r\nHost: a\r\nRequest-Id: r\r\n"
                 "Content-Length: 101\r\n\r\n",
                 413},
        BadInput{"SlowHeader", "GET / HTTP/1.1\r\nHost:", 408},
        BadInput{"SlowBody",
                 "POST / HTTP/1.1\r\nHost: a\r\nRequest-Id: r\r\n"
                 "Content-Length: 10\r\n\r\nabc",
                 408}),
    [](const auto& info) { return info.param.name; });

TEST_F(IngressServerTest, ReadsBodyWithContentLengthAndChunkedBody) {
  Write(
      "POST /1 HTTP/1.1\r\nHost: a\r\nRequest-Id: r\r\n"
      "Content-Length: 4\r\n\r\nbody");
  Write(
      "POST /2 HTTP/1.1\r\nHost: a\r\nRequest-Id: r\r\n"
      "Transfer-Encoding: chunked\r\n\r\n2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n");
  ASSERT_EQ(host_.requests_.size(), 2U);
  EXPECT_EQ(*host_.requests_[0]->body, "body");
  EXPECT_EQ(*host_.requests_[1]->body, "body");
}

// A connection must not be closed while its caller may still reuse it, nor be
// kept forever.
TEST_F(IngressServerTest, ClosesIdleConnectionAfterTimeout) {
  Write(Get("/1"));
  RunFor(milliseconds(1200));
  ReadAll(client_);
  EXPECT_FALSE(closed_);
  RunFor(milliseconds(1200));
  ReadAll(client_);
  EXPECT_TRUE(closed_);
}

TEST_F(IngressServerTest, SendsConnectionCloseWhileDraining) {
  host_.draining_ = true;
  Write(Get("/1"));
  std::string text = ReadAll(client_);
  EXPECT_NE(text.find("Connection: close\r\n"), std::string::npos);
  EXPECT_NE(text.find("ok /1"), std::string::npos);
}

// Callers that each hold a connection with a partial request must not shut out
// others.
TEST_F(IngressServerTest, ClosesLongestWaitingConnectionAtLimit) {
  std::vector<std::unique_ptr<tcp::socket>> partial_callers;
  for (std::size_t n = 0; n < kMaxConnections + 2; ++n) {
    partial_callers.push_back(std::make_unique<tcp::socket>(context_));
    Connect(*partial_callers.back());
    error_code ignored;
    boost::asio::write(*partial_callers.back(), boost::asio::buffer("GET /", 5),
                       ignored);
    RunFor(milliseconds(5));
  }
  EXPECT_LE(server_.connections(), kMaxConnections);
  tcp::socket caller(context_);
  Connect(caller);
  error_code ignored;
  boost::asio::write(caller, boost::asio::buffer(Get("/1")), ignored);
  RunFor(milliseconds(50));
  EXPECT_NE(ReadAll(caller).find("ok /1"), std::string::npos);
}

// Closing with unread bytes resets the connection, which could destroy the
// answer.
TEST_F(IngressServerTest, DeliversWholeAnswerWhenCallerKeepsSending) {
  host_.draining_ = true;
  Write(Get("/1") + std::string(50000, 'x'));
  EXPECT_NE(ReadAll(client_).find("ok /1"), std::string::npos);
}

// Beast of Boost 1.81 aborts when the last chunk arrives in some pieces: one
// caller could end the whole process.
TEST_F(IngressServerTest, AcceptsChunkedBodyInPieces) {
  const std::string head =
      "POST /a HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\n"
      "Transfer-Encoding: chunked\r\n\r\n";
  Write(head + "0\r\n");
  Write("\r");
  Write("\n");
  EXPECT_NE(ReadAll(client_).find("200"), std::string::npos);
  error_code ignored;
  for (char c : head + "3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nT: v\r\n\r\n") {
    boost::asio::write(client_, boost::asio::buffer(&c, 1), ignored);
    RunFor(milliseconds(1));
  }
  RunFor(milliseconds(20));
  EXPECT_NE(ReadAll(client_).find("200"), std::string::npos);
  ASSERT_EQ(host_.requests_.size(), 2U);
  EXPECT_EQ(*host_.requests_[1]->body, "abcde");
}

// Parts of a chunked body that the parser takes as a whole must not fill the
// memory.
TEST_F(IngressServerTest, RejectsEndlessPartsOfChunkedBody) {
  for (const char* begin : {"4;", "0\r\n", "000"}) {
    tcp::socket client(context_);
    Connect(client);
    error_code ignored;
    boost::asio::write(
        client,
        boost::asio::buffer("POST /a HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\n"
                            "Transfer-Encoding: chunked\r\n\r\n" +
                            std::string(begin)),
        ignored);
    std::string part = begin == std::string("0\r\n") ? "X: y\r\n" : "0000000";
    for (int n = 0; n < 2000; ++n) {
      boost::asio::write(client, boost::asio::buffer(part), ignored);
      if (n % 100 == 0)
        RunFor(milliseconds(2));
    }
    RunFor(milliseconds(20));
    EXPECT_NE(ReadAll(client).find("431"), std::string::npos) << begin;
  }
  EXPECT_TRUE(host_.requests_.empty());
}

// Connections that were established before the listening socket is closed must
// be served, also if they were not accepted yet or sent no request yet.
TEST_F(IngressServerTest, ServesConnectionsThatWaitWhenListeningEnds) {
  constexpr std::size_t kWaiting = 2;
  std::vector<tcp::socket> clients;
  for (std::size_t n = 0; n < kWaiting; ++n) {
    clients.emplace_back(context_);
    clients[n].connect(tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"),
                                     address_.port));
    clients[n].non_blocking(true);
  }
  error_code ignored;
  boost::asio::write(clients[0], boost::asio::buffer(Get("/queued")), ignored);
  host_.draining_ = true;
  server_.StopAccepting();
  server_.CloseIdle(Duration(0));
  RunFor(milliseconds(20));
  EXPECT_NE(ReadAll(clients[0]).find("ok /queued"), std::string::npos);
}

// A request whose bytes have arrived, but were not read yet, must be answered
// when idle connections are closed.
TEST_F(IngressServerTest, CloseIdleSparesConnectionsWithUnreadRequests) {
  Write(Get("/a"));
  ReadAll(client_);
  host_.draining_ = true;
  error_code ignored;
  boost::asio::write(client_, boost::asio::buffer(Get("/b")), ignored);
  server_.CloseIdle(Duration(0));
  RunFor(milliseconds(20));
  EXPECT_NE(ReadAll(client_).find("ok /b"), std::string::npos);
}

}  // namespace
}  // namespace jujubecove
