#include <gmock/gmock.h>

#include "tests/unit/front/front_daemon_fixture.h"

namespace jujubecove {
namespace {

using std::chrono::milliseconds;
using testing::HasSubstr;

class FrontDaemonTest : public FrontDaemonFixture {};

TEST_F(FrontDaemonTest, ServesScatterAndSingleRoutes) {
  store_.store().Set("op/config", kConfig);
  Start();
  ASSERT_TRUE(AwaitReady());
  FrontReply scatter = SendRequest("/g/1");
  EXPECT_EQ(scatter.status, 200U);
  EXPECT_EQ(scatter.headers["Missing-Parts"], "0");
  EXPECT_THAT(scatter.headers["Part-Stamps"], HasSubstr("b.0.r1"));
  EXPECT_EQ(scatter.body.size(), 32U);
  FrontReply single = SendRequest("/s/1");
  EXPECT_EQ(single.status, 200U);
  EXPECT_THAT(single.headers["Response-Stamp"], HasSubstr(".r1"));
  EXPECT_EQ(SendRequest("/x/1").status, 404U);
  FrontReply metrics = Get(config_.listen_metrics, "/metrics");
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
