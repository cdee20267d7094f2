#include "api/query_service_proxy.h"

#include <gtest/gtest.h>

#include <utility>

#include "tests/unit/api/api_server_fixture.h"

namespace jujubecove {
namespace {

// The test runs the io_contexts of the two threads in turn.
class QueryServiceProxyTest : public testing::Test {
 protected:
  void MakeProxy(std::uint32_t in_flight, std::uint32_t ring) {
    ApiLimits limits;
    limits.requests_in_flight = in_flight;
    limits.ring_capacity = ring;
    query_proxy_ = std::make_unique<QueryServiceProxy>(
        frontend_context_, query_context_, limits, metrics_);
    query_proxy_->SetService(service_);
    service_.echo = false;
  }
  Result<RequestId> Submit(std::uint64_t generation) {
    QueryRequest request;
    request.body = std::to_string(generation);
    return query_proxy_->Submit(
        std::move(request), ConnectionGeneration(generation),
        [this, generation](ConnectionGeneration answered,
                           const RenderedAnswer& answer) {
          EXPECT_EQ(answered, ConnectionGeneration(generation));
          answers_.emplace_back(generation, answer.body);
        });
  }
  void RunQuery() {
    query_context_.restart();
    query_context_.poll();
  }
  void RunFrontend() {
    frontend_context_.restart();
    frontend_context_.poll();
  }

  boost::asio::io_context frontend_context_;
  boost::asio::io_context query_context_;
  MetricsRegistry metrics_;
  FakeQueryService service_;
  std::unique_ptr<QueryServiceProxy> query_proxy_;
  std::vector<std::pair<std::uint64_t, std::string>> answers_;
};

// A full ring must not block or lose an accepted request.
TEST_F(QueryServiceProxyTest, RejectsRequestWhenRingIsFull) {
  MakeProxy(10, 2);
  EXPECT_TRUE(Submit(1));
  EXPECT_TRUE(Submit(2));
  Result<RequestId> rejected = Submit(3);
  ASSERT_FALSE(rejected);
  EXPECT_EQ(rejected.error().kind, ErrorKind::kOverloaded);
  EXPECT_EQ(query_proxy_->in_flight(), 2U);
  RunQuery();
  EXPECT_EQ(service_.requests.size(), 2U);
  EXPECT_TRUE(Submit(4));
}

// Late and reordered answers must not be delivered to another request.
TEST_F(QueryServiceProxyTest, DeliversEachAnswerToItsRequest) {
  MakeProxy(10, 10);
  for (std::uint64_t n = 1; n <= 4; ++n)
    ASSERT_TRUE(Submit(n));
  RunQuery();
  query_proxy_->Abandon(service_.requests[1].id);
  for (std::size_t n = 4; n-- > 0;)
    service_.Answer(service_.requests[n].id, service_.requests[n].body);
  RunFrontend();
  std::vector<std::pair<std::uint64_t, std::string>> expected = {
      {4, "4"}, {3, "3"}, {1, "1"}};
  EXPECT_EQ(answers_, expected);
  EXPECT_EQ(query_proxy_->in_flight(), 0U);
}

// A request abandoned while the ring was full must still be cancelled.
TEST_F(QueryServiceProxyTest, SendsAbandonOnceRingHasSpace) {
  MakeProxy(10, 2);
  Result<RequestId> first = Submit(1);
  Result<RequestId> second = Submit(2);
  query_proxy_->Abandon(first.value());
  RunQuery();
  EXPECT_TRUE(service_.abandoned.empty());
  service_.Answer(second.value(), "answer");
  RunFrontend();
  RunQuery();
  ASSERT_EQ(service_.abandoned.size(), 1U);
  EXPECT_EQ(service_.abandoned[0], first.value());
}

}  // namespace
}  // namespace jujubecove
