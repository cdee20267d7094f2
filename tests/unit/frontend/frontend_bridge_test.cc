#include "frontend/query_service_proxy.h"

#include <gtest/gtest.h>

#include <utility>

#include "tests/unit/frontend/frontend_fixture.h"

namespace jujubecove {
namespace {

// The two threads are two contexts that the test runs in turn.
class FrontendBridgeTest : public testing::Test {
 protected:
  void MakeBridge(std::uint32_t in_flight, std::uint32_t ring) {
    ApiLimits limits;
    limits.requests_in_flight = in_flight;
    limits.ring_capacity = ring;
    bridge_ = std::make_unique<QueryServiceProxy>(frontend_, query_, limits,
                                                  metrics_);
    bridge_->SetService(service_);
    service_.echo = false;
  }
  Result<RequestId> Submit(std::uint64_t generation) {
    QueryRequest request;
    request.body = std::to_string(generation);
    return bridge_->Submit(std::move(request), ConnectionGeneration(generation),
                           [this, generation](ConnectionGeneration answered,
                                              const RenderedAnswer& answer) {
                             EXPECT_EQ(answered,
                                       ConnectionGeneration(generation));
                             answers_.emplace_back(generation, answer.body);
                           });
  }
  void RunQuery() {
    query_.restart();
    query_.poll();
  }
  void RunFrontend() {
    frontend_.restart();
    frontend_.poll();
  }

  boost::asio::io_context frontend_;
  boost::asio::io_context query_;
  MetricsRegistry metrics_;
  FakeQueryService service_;
  std::unique_ptr<QueryServiceProxy> bridge_;
  std::vector<std::pair<std::uint64_t, std::string>> answers_;
};

// Guards against a full ring that blocks, or that loses a request which was
// accepted.
TEST_F(FrontendBridgeTest, FullRingRefuses) {
  MakeBridge(10, 2);
  EXPECT_TRUE(Submit(1));
  EXPECT_TRUE(Submit(2));
  Result<RequestId> refused = Submit(3);
  ASSERT_FALSE(refused);
  EXPECT_EQ(refused.error().kind, ErrorKind::kOverloaded);
  EXPECT_EQ(bridge_->in_flight(), 2U);
  RunQuery();
  EXPECT_EQ(service_.requests.size(), 2U);
  EXPECT_TRUE(Submit(4));
}

// Guards against answers that reach another request when they come late and in
// another order.
TEST_F(FrontendBridgeTest, AnswersReachTheirRequest) {
  MakeBridge(10, 10);
  for (std::uint64_t n = 1; n <= 4; ++n)
    ASSERT_TRUE(Submit(n));
  RunQuery();
  bridge_->Abandon(service_.requests[1].id);
  for (std::size_t n = 4; n-- > 0;)
    service_.Answer(service_.requests[n].id, service_.requests[n].body);
  RunFrontend();
  std::vector<std::pair<std::uint64_t, std::string>> expected = {
      {4, "4"}, {3, "3"}, {1, "1"}};
  EXPECT_EQ(answers_, expected);
  EXPECT_EQ(bridge_->in_flight(), 0U);
}

// Guards against an abandoned request that is never cancelled because the ring
// was full at that moment.
TEST_F(FrontendBridgeTest, AbandonsLaterWhenTheRingIsFull) {
  MakeBridge(10, 2);
  Result<RequestId> first = Submit(1);
  Result<RequestId> second = Submit(2);
  bridge_->Abandon(first.value());
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
