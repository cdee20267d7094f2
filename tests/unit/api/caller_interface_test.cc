#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <string>

#include "tests/unit/api/api_server_fixture.h"

namespace jujubecove {
namespace {

class CallerInterfaceTest : public ApiServerFixture {};

// Header fields must not be lost or mixed up.
TEST_F(CallerInterfaceTest, ForwardsHeaderFieldsAndBody) {
  StartServer();
  std::unique_ptr<tcp::socket> caller = Connect();
  const std::string trace_id = "4bf92f3577b34da6a3ce929d0e0e4736";
  Send(*caller, Post("/v1/query/payout-search?ignored",
                     "Jujubecove-Deadline-Ms: 80\r\nJujubecove-Caller: mill\r\n"
                     "jujubecove-key: k1\r\nIdempotency-Key: t1\r\n"
                     "Traceparent: 00-" +
                         trace_id + "-00f067aa0ba902b7-01\r\n",
                     "{}"));
  Receive(*caller);
  ASSERT_EQ(service_.requests.size(), 1U);
  const QueryRequest& request = service_.requests[0];
  EXPECT_EQ(request.kind, KindName("payout-search"));
  EXPECT_EQ(request.caller, CallerName("mill"));
  EXPECT_EQ(request.key, "k1");
  EXPECT_EQ(request.idempotency_key, "t1");
  EXPECT_EQ(request.body, "{}");
  EXPECT_EQ(request.deadline, Duration(80'000));
  EXPECT_THAT(request.traceparent, testing::HasSubstr(trace_id));
  EXPECT_THAT(request.traceparent,
              testing::Not(testing::HasSubstr("00f067aa0ba902b7")));
  Send(*caller, Post("/v1/query/payout-search", "", "{}"));
  Receive(*caller);
  EXPECT_EQ(service_.requests[1].caller, CallerName("127.0.0.1"));
  EXPECT_FALSE(service_.requests[1].deadline.has_value());
}

// Answers must keep the order of the requests, also when requests are split
// across reads.
TEST_F(CallerInterfaceTest, AnswersPipelinedRequestsInOrder) {
  StartServer();
  std::unique_ptr<tcp::socket> caller = Connect();
  std::string sent;
  for (int n = 0; n < 50; ++n)
    sent += n % 5 == 4 ? Get("/healthz")
                       : Post("/v1/query/k", "", "body " + std::to_string(n));
  Send(*caller, sent);
  for (int n = 0; n < 50; ++n) {
    std::optional<CallerReply> reply = Receive(*caller);
    ASSERT_TRUE(reply.has_value());
    EXPECT_EQ(reply->body,
              n % 5 == 4 ? "{\"status\":\"ok\"}" : "body " + std::to_string(n));
  }
}

// A caller that waits for "100 Continue" must get it, but not for a body that
// will be rejected.
TEST_F(CallerInterfaceTest, SendsContinueOnlyForAcceptableRequests) {
  StartServer();
  std::unique_ptr<tcp::socket> caller = Connect();
  Send(*caller,
       "POST /v1/query/k HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\n"
       "Content-Length: 4\r\n\r\n");
  std::optional<CallerReply> reply = Receive(*caller);
  ASSERT_TRUE(reply.has_value());
  EXPECT_EQ(reply->status, 100);
  Send(*caller, "body");
  reply = Receive(*caller);
  ASSERT_TRUE(reply.has_value());
  EXPECT_EQ(reply->body, "body");
  Send(*caller,
       "POST /v1/query/k HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\n"
       "Content-Length: 4000000\r\n\r\n");
  reply = Receive(*caller);
  ASSERT_TRUE(reply.has_value());
  EXPECT_EQ(reply->status, 413);
}

// The operations address has a connection limit of its own, so queries must not
// be accepted there.
TEST_F(CallerInterfaceTest, OperationsAddressRejectsQueries) {
  StartServer();
  std::unique_ptr<tcp::socket> caller = ConnectTo(operations_);
  Send(*caller, Get("/healthz"));
  EXPECT_EQ(Receive(*caller)->status, 200);
  Send(*caller, Post("/v1/query/k", "", ""));
  EXPECT_EQ(Receive(*caller)->status, 404);
  EXPECT_TRUE(service_.requests.empty());
}

TEST_F(CallerInterfaceTest, ReportsReasonsWhenNotReady) {
  StartServer();
  server_->SetState(
      ApiServerState{{"no document", "no searcher known"}, ConfigVersion(0)});
  std::unique_ptr<tcp::socket> caller = Connect();
  Send(*caller, Get("/readyz"));
  std::optional<CallerReply> reply = Receive(*caller);
  ASSERT_TRUE(reply.has_value());
  EXPECT_EQ(reply->status, 503);
  EXPECT_THAT(reply->body, testing::HasSubstr("\"status\":\"not_ready\""));
  EXPECT_THAT(reply->body,
              testing::HasSubstr("no document; no searcher known"));
}

}  // namespace
}  // namespace jujubecove
