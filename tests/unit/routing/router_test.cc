#include "routing/router.h"

#include <gtest/gtest.h>

#include "routing/make_router.h"
#include "unit/routing/router_fixture.h"

namespace jujubecove {
namespace {

using RouterTest = RouterFixture;

// Guards against a new router answering anything but "no replica" before it
// knows any searcher.
TEST_F(RouterTest, KnowsNothingAtFirst) {
  std::unique_ptr<Router> router = MakeRouter(timers_, kSeed);
  EXPECT_EQ(router->Choose(ChoiceRequest{}).status, ChoiceStatus::kNoReplica);
  EXPECT_EQ(router->CurrentMap(service_), nullptr);
  EXPECT_FALSE(router->PickSnapshot(service_, {}));
  EXPECT_FALSE(router->HedgeDelay(service_));
}

// Guards against a searcher that drains getting another request, by whichever
// way the drain is learned.
TEST_F(RouterTest, LeavingSearcherGetsNothingNew) {
  Start(1, 4);
  vms_[0].leaving = true;
  router_.ApplyVmList(vms_);
  SearcherReport report = MakeReport(0, 1);
  report.draining = true;
  router_.ApplyReport(report);
  Run(IdOf(0, 2), Duration(6'000), AttemptOutcome::kRefusedDraining);
  EXPECT_EQ(Chosen(50, 4), (std::vector<int>{0, 0, 0, 50}));
  AttemptId attempt = Send(IdOf(0, 3));
  UpstreamReply reply =
      MakeReply(attempt, IdOf(0, 3), AttemptOutcome::kOk, Duration(6'000));
  reply.draining = true;
  router_.OnReply(reply);
  EXPECT_EQ(router_.Choose(Ask()).status, ChoiceStatus::kNoReplica);
}

}  // namespace
}  // namespace jujubecove
