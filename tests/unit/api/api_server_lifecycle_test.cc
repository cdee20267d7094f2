#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <chrono>

#include "tests/unit/api/api_server_fixture.h"

namespace jujubecove {
namespace {

constexpr char kQuery[] =
    "POST /v1/query/k HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\nb";
constexpr char kTicketQuery[] =
    "POST /v1/query/k HTTP/1.1\r\nHost: x\r\nIdempotency-Key: t\r\n"
    "Content-Length: 1\r\n\r\nb";

class ApiServerLifecycleTest : public ApiServerFixture {
 protected:
  // Runs the server until it has `connections` connections and has read what
  // was sent.
  void Settle(std::size_t connections) {
    RunUntil([&] { return server_->connection_count() == connections; });
    for (int n = 0; n < 20; ++n) {
      context_.restart();
      context_.poll();
      std::this_thread::sleep_for(std::chrono::microseconds(100));
    }
  }
};

// Connections without a request must not stay open forever.
TEST_F(ApiServerLifecycleTest, ClosesSilentAndIdleConnections) {
  StartServer();
  std::unique_ptr<tcp::socket> silent = Connect();
  std::unique_ptr<tcp::socket> idle = Connect();
  Send(*idle, kQuery);
  ASSERT_TRUE(Receive(*idle).has_value());
  Settle(2);
  timers_.AdvanceBy(limits_.first_byte_timeout);
  EXPECT_TRUE(IsClosed(*silent));
  timers_.AdvanceBy(limits_.idle_timeout);
  EXPECT_TRUE(IsClosed(*idle));
  Settle(0);
}

// A caller must not hold a connection by sending its header byte by byte.
TEST_F(ApiServerLifecycleTest, TimesOutSlowHeader) {
  StartServer();
  std::unique_ptr<tcp::socket> caller = Connect();
  Send(*caller, "POST /v1/query/k HTTP/1.1\r\nHost");
  Settle(1);
  timers_.AdvanceBy(limits_.header_timeout / 2);
  Send(*caller, ": x\r\n");
  Settle(1);
  timers_.AdvanceBy(limits_.header_timeout / 2);
  std::optional<CallerReply> reply = Receive(*caller);
  ASSERT_TRUE(reply.has_value());
  EXPECT_EQ(reply->status, 408);
  EXPECT_THAT(reply->body, testing::HasSubstr("\"request_timeout\""));
  EXPECT_TRUE(IsClosed(*caller));
}

// A caller must not hold a connection by sending its body slowly.
TEST_F(ApiServerLifecycleTest, TimesOutSlowBody) {
  StartServer();
  std::unique_ptr<tcp::socket> caller = Connect();
  Send(*caller,
       "POST /v1/query/k HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nhalf");
  Settle(1);
  timers_.AdvanceBy(limits_.body_timeout);
  std::optional<CallerReply> reply = Receive(*caller);
  ASSERT_TRUE(reply.has_value());
  EXPECT_EQ(reply->status, 408);
  EXPECT_THAT(reply->body, testing::HasSubstr("\"execution\":\"not_run\""));
  EXPECT_TRUE(service_.requests.empty());
}

// A truncated request must not be run as a complete one.
TEST_F(ApiServerLifecycleTest, IgnoresTruncatedRequest) {
  StartServer();
  std::unique_ptr<tcp::socket> caller = Connect();
  Send(*caller,
       "POST /v1/query/k HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nhalf");
  Settle(1);
  caller->close();
  Settle(0);
  EXPECT_TRUE(service_.requests.empty());
}

// A request must be cancelled when its client disconnects, and its late answer
// must not reach another caller.
TEST_F(ApiServerLifecycleTest, AbandonsRequestOfClosedConnection) {
  StartServer();
  service_.echo = false;
  std::unique_ptr<tcp::socket> first = Connect();
  Send(*first, kQuery);
  ASSERT_TRUE(AwaitRequests(1));
  first->close();
  ASSERT_TRUE(RunUntil([&] { return !service_.abandoned.empty(); }));
  EXPECT_EQ(service_.abandoned[0], service_.requests[0].id);
  EXPECT_EQ(query_proxy_->in_flight(), 1U);

  std::unique_ptr<tcp::socket> second = Connect();
  Send(*second, kQuery);
  ASSERT_TRUE(AwaitRequests(2));
  service_.Answer(service_.requests[0].id, "late answer");
  service_.Answer(service_.requests[1].id, "own answer");
  std::optional<CallerReply> reply = Receive(*second);
  ASSERT_TRUE(reply.has_value());
  EXPECT_EQ(reply->body, "own answer");
  EXPECT_EQ(query_proxy_->in_flight(), 0U);
  EXPECT_EQ(CounterValue("jujubecove_frontend_abandoned_total"), 1U);
}

// A flood of connections must not block the operations address, and callers
// over the limit must get an error answer.
TEST_F(ApiServerLifecycleTest, RejectsConnectionsOverLimit) {
  ApiLimits limits;
  limits.connections = 2;
  StartServer(limits);
  std::unique_ptr<tcp::socket> first = Connect();
  std::unique_ptr<tcp::socket> second = Connect();
  Settle(2);
  std::unique_ptr<tcp::socket> excess = Connect();
  std::optional<CallerReply> reply = Receive(*excess);
  ASSERT_TRUE(reply.has_value());
  EXPECT_EQ(reply->status, 503);
  EXPECT_THAT(reply->body, testing::HasSubstr("\"too_many_connections\""));
  // Nothing was read, so the request may be a retry with a ticket.
  EXPECT_THAT(reply->body, testing::HasSubstr("\"execution\":\"unknown\""));
  EXPECT_TRUE(IsClosed(*excess));
  std::unique_ptr<tcp::socket> operator_socket = ConnectTo(operations_);
  Send(*operator_socket, "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n");
  EXPECT_EQ(Receive(*operator_socket)->status, 200);
  first->close();
  excess->close();
  Settle(2);
  std::unique_ptr<tcp::socket> third = Connect();
  Send(*third, kQuery);
  EXPECT_EQ(Receive(*third)->status, 200);
}

// Queues must be bounded, and a request whose ticket may have run before must
// not be reported as "not run".
TEST_F(ApiServerLifecycleTest, RejectsRequestsOverLimit) {
  ApiLimits limits;
  limits.requests_in_flight = 1;
  StartServer(limits);
  service_.echo = false;
  std::unique_ptr<tcp::socket> first = Connect();
  Send(*first, kQuery);
  ASSERT_TRUE(AwaitRequests(1));
  std::unique_ptr<tcp::socket> second = Connect();
  Send(*second, kQuery);
  std::optional<CallerReply> reply = Receive(*second);
  ASSERT_TRUE(reply.has_value());
  EXPECT_EQ(reply->status, 429);
  EXPECT_THAT(reply->body, testing::HasSubstr("\"execution\":\"not_run\""));
  Send(*second, kTicketQuery);
  reply = Receive(*second);
  ASSERT_TRUE(reply.has_value());
  EXPECT_EQ(reply->status, 502);
  EXPECT_THAT(reply->body, testing::HasSubstr("\"outcome_unknown\""));
  EXPECT_THAT(reply->body, testing::HasSubstr("\"execution\":\"unknown\""));
  service_.Answer(service_.requests[0].id, "answer");
  EXPECT_EQ(Receive(*first)->body, "answer");
  Send(*second, kQuery);
  EXPECT_TRUE(AwaitRequests(2));
}

// A shutdown must end without aborting requests: those that are being read, are
// in flight, wait to be accepted or arrive on an idle connection at that moment
// are served.
TEST_F(ApiServerLifecycleTest, DrainsWithoutAbortingRequests) {
  StartServer();
  service_.echo = false;
  std::unique_ptr<tcp::socket> idle = Connect();
  std::unique_ptr<tcp::socket> waiting = Connect();
  std::unique_ptr<tcp::socket> partial = Connect();
  std::unique_ptr<tcp::socket> racing = Connect();
  Send(*waiting, kQuery);
  Send(*partial, std::string(kQuery).substr(0, 20));
  ASSERT_TRUE(AwaitRequests(1));
  Settle(4);
  server_->BeginDrain();
  std::unique_ptr<tcp::socket> pending = Connect();
  boost::asio::write(*pending, boost::asio::buffer(std::string(kQuery)));
  bool drained = false;
  server_->StopAccepting([&] { drained = true; });
  boost::system::error_code ec;
  tcp::socket late(client_context_);
  late.connect(callers_, ec);
  EXPECT_EQ(ec, boost::asio::error::connection_refused);
  Send(*racing, kQuery);
  Send(*partial, std::string(kQuery).substr(20));
  ASSERT_TRUE(AwaitRequests(4));
  timers_.AdvanceBy(limits_.linger_timeout);
  EXPECT_TRUE(IsClosed(*idle));
  idle->close();
  EXPECT_FALSE(drained);
  for (const QueryRequest& request : service_.requests)
    service_.Answer(request.id, "answer");
  for (tcp::socket* caller :
       {waiting.get(), partial.get(), pending.get(), racing.get()}) {
    std::optional<CallerReply> reply = Receive(*caller);
    ASSERT_TRUE(reply.has_value());
    EXPECT_EQ(reply->body, "answer");
    EXPECT_FALSE(reply->keep_alive);
    caller->close();
  }
  Settle(0);
  timers_.AdvanceBy(std::chrono::milliseconds(100));
  EXPECT_TRUE(drained);
  EXPECT_EQ(server_->CloseAll(), 0U);
}

// A forced shutdown must report how many requests it aborted.
TEST_F(ApiServerLifecycleTest, CountsRequestsAbortedByCloseAll) {
  StartServer();
  service_.echo = false;
  std::unique_ptr<tcp::socket> idle = Connect();
  std::unique_ptr<tcp::socket> waiting = Connect();
  Send(*waiting, kQuery);
  ASSERT_TRUE(AwaitRequests(1));
  Settle(2);
  EXPECT_EQ(server_->CloseAll(), 1U);
  EXPECT_EQ(server_->connection_count(), 0U);
}

}  // namespace
}  // namespace jujubecove
