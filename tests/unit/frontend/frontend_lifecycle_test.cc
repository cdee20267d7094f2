#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <chrono>

#include "tests/unit/frontend/frontend_fixture.h"

namespace jujubecove {
namespace {

constexpr char kQuery[] =
    "POST /v1/query/k HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\nb";
constexpr char kTicketQuery[] =
    "POST /v1/query/k HTTP/1.1\r\nHost: x\r\nIdempotency-Key: t\r\n"
    "Content-Length: 1\r\n\r\nb";

class FrontendLifecycleTest : public FrontendFixture {
 protected:
  // Lets the frontend see what has been sent.
  void Settle(std::size_t connections) {
    RunUntil([&] { return frontend_->connection_count() == connections; });
    for (int n = 0; n < 20; ++n) {
      context_.restart();
      context_.poll();
      std::this_thread::sleep_for(std::chrono::microseconds(100));
    }
  }
};

// Guards against connections that hold a place for ever without a request.
TEST_F(FrontendLifecycleTest, ClosesSilentConnections) {
  StartFrontend();
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

// Guards against callers that send a header byte by byte to hold a connection.
TEST_F(FrontendLifecycleTest, EndsSlowHeader) {
  StartFrontend();
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

// Guards against the same with the body.
TEST_F(FrontendLifecycleTest, EndsSlowBody) {
  StartFrontend();
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

// Guards against a half request that is taken for a whole one.
TEST_F(FrontendLifecycleTest, IgnoresRequestThatIsCutShort) {
  StartFrontend();
  std::unique_ptr<tcp::socket> caller = Connect();
  Send(*caller,
       "POST /v1/query/k HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nhalf");
  Settle(1);
  caller->close();
  Settle(0);
  EXPECT_TRUE(service_.requests.empty());
}

// Guards against work for callers that are gone, and against their answers
// reaching another caller.
TEST_F(FrontendLifecycleTest, AbandonsRequestOfClosedConnection) {
  StartFrontend();
  service_.echo = false;
  std::unique_ptr<tcp::socket> first = Connect();
  Send(*first, kQuery);
  ASSERT_TRUE(AwaitRequests(1));
  first->close();
  ASSERT_TRUE(RunUntil([&] { return !service_.abandoned.empty(); }));
  EXPECT_EQ(service_.abandoned[0], service_.requests[0].id);
  EXPECT_EQ(bridge_->in_flight(), 1U);

  std::unique_ptr<tcp::socket> second = Connect();
  Send(*second, kQuery);
  ASSERT_TRUE(AwaitRequests(2));
  service_.Answer(service_.requests[0].id, "late answer");
  service_.Answer(service_.requests[1].id, "own answer");
  std::optional<CallerReply> reply = Receive(*second);
  ASSERT_TRUE(reply.has_value());
  EXPECT_EQ(reply->body, "own answer");
  EXPECT_EQ(bridge_->in_flight(), 0U);
  EXPECT_EQ(CounterValue("jujubecove_frontend_abandoned_total"), 1U);
}

// Guards against a flood of connections that shuts out the operations address,
// and against refusing without a word.
TEST_F(FrontendLifecycleTest, RefusesConnectionsOverTheLimit) {
  ApiLimits limits;
  limits.connections = 2;
  StartFrontend(limits);
  std::unique_ptr<tcp::socket> first = Connect();
  std::unique_ptr<tcp::socket> second = Connect();
  Settle(2);
  std::unique_ptr<tcp::socket> excess = Connect();
  std::optional<CallerReply> reply = Receive(*excess);
  ASSERT_TRUE(reply.has_value());
  EXPECT_EQ(reply->status, 503);
  EXPECT_THAT(reply->body, testing::HasSubstr("\"too_many_connections\""));
  // Nothing was read, so the request may be the repeat of a ticket.
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

// Guards against unbounded queues, and against "not run" for a ticket that may
// have run before.
TEST_F(FrontendLifecycleTest, RefusesRequestsOverTheLimit) {
  ApiLimits limits;
  limits.requests_in_flight = 1;
  StartFrontend(limits);
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

// Guards against a shutdown that cuts off requests or never ends: requests that
// are being read, wait for an answer, wait to be accepted or arrive on an idle
// connection just then are served.
TEST_F(FrontendLifecycleTest, DrainsWithoutCuttingOff) {
  StartFrontend();
  service_.echo = false;
  std::unique_ptr<tcp::socket> idle = Connect();
  std::unique_ptr<tcp::socket> waiting = Connect();
  std::unique_ptr<tcp::socket> half = Connect();
  std::unique_ptr<tcp::socket> crossing = Connect();
  Send(*waiting, kQuery);
  Send(*half, std::string(kQuery).substr(0, 20));
  ASSERT_TRUE(AwaitRequests(1));
  Settle(4);
  frontend_->BeginDrain();
  std::unique_ptr<tcp::socket> pending = Connect();
  boost::asio::write(*pending, boost::asio::buffer(std::string(kQuery)));
  bool drained = false;
  frontend_->StopAccepting([&] { drained = true; });
  boost::system::error_code ec;
  tcp::socket late(client_context_);
  late.connect(callers_, ec);
  EXPECT_EQ(ec, boost::asio::error::connection_refused);
  Send(*crossing, kQuery);
  Send(*half, std::string(kQuery).substr(20));
  ASSERT_TRUE(AwaitRequests(4));
  timers_.AdvanceBy(limits_.linger_timeout);
  EXPECT_TRUE(IsClosed(*idle));
  idle->close();
  EXPECT_FALSE(drained);
  for (const QueryRequest& request : service_.requests)
    service_.Answer(request.id, "answer");
  for (tcp::socket* caller :
       {waiting.get(), half.get(), pending.get(), crossing.get()}) {
    std::optional<CallerReply> reply = Receive(*caller);
    ASSERT_TRUE(reply.has_value());
    EXPECT_EQ(reply->body, "answer");
    EXPECT_FALSE(reply->keep_alive);
    caller->close();
  }
  Settle(0);
  timers_.AdvanceBy(std::chrono::milliseconds(100));
  EXPECT_TRUE(drained);
  EXPECT_EQ(frontend_->CloseAll(), 0U);
}

// Guards against a forced end that does not say what it cut off.
TEST_F(FrontendLifecycleTest, CountsWhatIsCutOff) {
  StartFrontend();
  service_.echo = false;
  std::unique_ptr<tcp::socket> idle = Connect();
  std::unique_ptr<tcp::socket> waiting = Connect();
  Send(*waiting, kQuery);
  ASSERT_TRUE(AwaitRequests(1));
  Settle(2);
  EXPECT_EQ(frontend_->CloseAll(), 1U);
  EXPECT_EQ(frontend_->connection_count(), 0U);
}

}  // namespace
}  // namespace jujubecove
