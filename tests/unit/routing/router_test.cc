#include "routing/router.h"

#include <gtest/gtest.h>

#include <algorithm>

#include "routing/make_router.h"
#include "tests/unit/routing/router_fixture.h"

namespace jujubecove {
namespace {

using RouterTest = RouterFixture;
constexpr Duration kUsual{6'000};
constexpr Duration kSlow{120'000};

// Guards against a new router answering anything but "no replica" before it
// knows any searcher.
TEST_F(RouterTest, KnowsNothingAtFirst) {
  std::unique_ptr<Router> router = MakeRouter(timers_, kSeed);
  EXPECT_EQ(router->ChooseReplica(ReplicaRequest{}).status,
            ReplicaChoiceStatus::kNoReplica);
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
  Run(IdOf(0, 2), kUsual, AttemptOutcome::kRefusedDraining);
  EXPECT_EQ(Chosen(50, 4), (std::vector<int>{0, 0, 0, 50}));
  AttemptId attempt = Send(IdOf(0, 3));
  UpstreamReply reply =
      MakeReply(attempt, IdOf(0, 3), AttemptOutcome::kOk, kUsual);
  reply.draining = true;
  router_.OnReply(reply);
  EXPECT_EQ(router_.ChooseReplica(Ask()).status,
            ReplicaChoiceStatus::kNoReplica);
}

// Guards against a stale report that takes a drain sign back, and against a
// searcher that stays excluded after it has returned.
TEST_F(RouterTest, DrainSignOutlivesStaleReports) {
  Start(1, 2);
  Run(IdOf(0, 0), kUsual, AttemptOutcome::kRefusedDraining);
  router_.ApplyReport(MakeReport(0, 0));
  EXPECT_EQ(Chosen(20, 2)[0], 0);
  timers_.AdvanceBy(Duration(11'000'000));
  router_.ApplyReport(MakeReport(0, 0));
  EXPECT_GT(Chosen(50, 2)[0], 0);
}

// Guards against a short or empty list that takes working searchers out of use,
// and against lost ones that stay in use for ever.
TEST_F(RouterTest, MissingFromOneListKeepsServing) {
  Start(1, 3);
  std::vector<SearcherVm> two(vms_.begin(), vms_.begin() + 2);
  router_.ApplyVmList(two);
  EXPECT_GT(Chosen(90, 3)[2], 0);
  timers_.AdvanceBy(Duration(10'000'001));
  EXPECT_EQ(Chosen(90, 3)[2], 0);
  router_.ApplyVmList({});
  EXPECT_EQ(router_.ChooseReplica(Ask()).status, ReplicaChoiceStatus::kChosen)
      << "a list cannot empty a pool";
}

// Guards against choosing a replica without regard to its latency and to the
// requests in flight there.
TEST_F(RouterTest, ChoosesTheLeastExpectedWait) {
  Start(1, 3, 8);
  for (int n = 0; n < 8; ++n) {
    Run(IdOf(0, 0), Duration(10'000));
    Run(IdOf(0, 1), Duration(6'000));
    Run(IdOf(0, 2), Duration(12'000));
  }
  EXPECT_EQ(Chosen(50, 3), (std::vector<int>{0, 50, 0}));
  Send(IdOf(0, 1));
  EXPECT_EQ(Chosen(50, 3)[1], 0);
}

// Guards against more requests in flight than the limit, and against calling a
// busy pool empty.
TEST_F(RouterTest, RespectsTheConcurrencyLimit) {
  Start(1, 2);
  Send(router_.ChooseReplica(Ask()).searcher);
  Send(router_.ChooseReplica(Ask()).searcher);
  EXPECT_EQ(router_.ChooseReplica(Ask()).status,
            ReplicaChoiceStatus::kAllAtLimit);
}

// Guards against a replica that is tried twice by one query.
TEST_F(RouterTest, SkipsTriedReplicas) {
  Start(1, 2);
  ReplicaRequest request = Ask();
  request.tried = {IdOf(0, 0)};
  EXPECT_EQ(router_.ChooseReplica(request).searcher, IdOf(0, 1));
  request.tried.push_back(IdOf(0, 1));
  EXPECT_EQ(router_.ChooseReplica(request).status,
            ReplicaChoiceStatus::kNoReplica);
}

// Guards against a straggler that stays in use, and against an ejection that
// leaves fewer than half of the replicas.
TEST_F(RouterTest, EjectsStragglersDownToTheFloor) {
  Start(1, 3);
  for (int n = 0; n < 3; ++n) {
    Run(IdOf(0, 0));
    Run(IdOf(0, 1));
    Run(IdOf(0, 2));
  }
  for (int n = 0; n < 4; ++n) {
    Run(IdOf(0, 2), kSlow);
    Run(IdOf(0, 1), kSlow);
  }
  EXPECT_EQ(router_.ejected_count(), 1U);
}

// Guards against a straggler that stays in use because hedges win before it
// answers, so that its real latency is never seen.
TEST_F(RouterTest, EjectsStragglerWhoseAttemptsAreCancelled) {
  Start(1, 3);
  for (int n = 0; n < 10; ++n) {
    for (std::size_t replica = 0; replica < 3; ++replica)
      Run(IdOf(0, replica));
  }
  for (int n = 0; n < 2; ++n)
    Run(IdOf(0, 0), Duration(17'000), AttemptOutcome::kCancelled);
  EXPECT_EQ(router_.ejected_count(), 0U);
  Run(IdOf(0, 0), Duration(17'000), AttemptOutcome::kCancelled);
  EXPECT_EQ(router_.ejected_count(), 1U);
}

// Guards against the floor keeping a straggler in use because a searcher that
// was slow for a moment is ejected in its place.
TEST_F(RouterTest, WorseStragglerTakesTheEjectedPlace) {
  Start(1, 3);
  for (int n = 0; n < 3; ++n) {
    for (std::size_t replica = 0; replica < 3; ++replica)
      Run(IdOf(0, replica));
  }
  Run(IdOf(0, 0), Duration(80'000));
  ASSERT_EQ(router_.ejected_count(), 1U);
  for (int n = 0; n < 6; ++n) {
    Run(IdOf(0, 2));
    Run(IdOf(0, 1), kSlow);
  }
  EXPECT_EQ(router_.ejected_count(), 1U);
  std::vector<int> chosen = Chosen(90, 3);
  EXPECT_EQ(chosen[1], 0);
}

// Guards against an ejection of searchers that are all equally slow.
TEST_F(RouterTest, SlowServiceEjectsNobody) {
  Start(1, 3);
  for (int n = 0; n < 10; ++n) {
    for (std::size_t replica = 0; replica < 3; ++replica)
      Run(IdOf(0, replica), n < 5 ? kUsual : 5 * kUsual);
  }
  EXPECT_EQ(router_.ejected_count(), 0U);
}

// Guards against a searcher that fails quickly and attracts load by its short
// latency.
TEST_F(RouterTest, EjectsFailingSearcher) {
  Start(1, 3);
  for (std::size_t replica = 0; replica < 3; ++replica)
    Run(IdOf(0, replica));
  for (int n = 0; n < 3; ++n)
    Run(IdOf(0, 0), Duration(100), AttemptOutcome::kFailed);
  EXPECT_EQ(Chosen(50, 3)[0], 0);
}

// Guards against blaming a searcher for a connection that went silent.
TEST_F(RouterTest, SilenceIsNotBlamedOnTheSearcher) {
  Start(1, 3);
  for (int n = 0; n < 10; ++n)
    Run(IdOf(0, 0), Duration(60'000), AttemptOutcome::kSilent);
  EXPECT_EQ(router_.ejected_count(), 0U);
  EXPECT_GT(Chosen(90, 3)[0], 0);
}

// Guards against probes that slow more than one query in 500, and against a
// recovered searcher that is never used again.
TEST_F(RouterTest, ProbesRarelyAndTakesARecoveredSearcherBack) {
  Start(1, 3);
  for (int n = 0; n < 3; ++n) {
    for (std::size_t replica = 0; replica < 3; ++replica)
      Run(IdOf(0, replica));
  }
  Run(IdOf(0, 0), kSlow);
  ASSERT_EQ(router_.ejected_count(), 1U);
  auto serve = [this](int queries, Duration latency) {
    int met = 0;
    for (int n = 0; n < queries; ++n) {
      router_.OnFirstAttempt(service_);
      SearcherId id = router_.ChooseReplica(Ask()).searcher;
      met += id == IdOf(0, 0) ? 1 : 0;
      Run(id, id == IdOf(0, 0) ? latency : kUsual);
    }
    return met;
  };
  int met = serve(10'000, kSlow);
  EXPECT_GT(met, 0);
  EXPECT_LE(met, 20);
  serve(10'000, kUsual);
  EXPECT_EQ(router_.ejected_count(), 0U);
  EXPECT_GT(serve(100, kUsual), 10);
}

// Guards against a searcher that stays ejected for ever because its probe was
// not sent, or ended in a way that tells nothing of the searcher.
TEST_F(RouterTest, LostProbeIsFollowedByAnother) {
  Start(1, 3);
  for (int n = 0; n < 3; ++n)
    Run(IdOf(0, 0), Duration(100), AttemptOutcome::kFailed);
  ASSERT_EQ(router_.ejected_count(), 1U);
  auto next_probe = [this] {
    for (int n = 0; n < 2'000; ++n) {
      timers_.AdvanceBy(Duration(10'000));
      router_.OnFirstAttempt(service_);
      ReplicaChoice choice = router_.ChooseReplica(Ask());
      if (choice.probe && choice.searcher == IdOf(0, 0))
        return true;
      Run(choice.searcher);
    }
    return false;
  };
  ASSERT_TRUE(next_probe());
  ASSERT_TRUE(next_probe()) << "the first was not sent";
  Run(IdOf(0, 0), kUsual, AttemptOutcome::kSilent);
  EXPECT_EQ(router_.ejected_count(), 1U);
  ASSERT_TRUE(next_probe());
  Run(IdOf(0, 0));
  EXPECT_EQ(router_.ejected_count(), 0U);
}

// Guards against reports of ill health that take a working searcher, or a whole
// pool, out of use.
TEST_F(RouterTest, UnhealthyReportsCannotEmptyAPool) {
  Start(1, 3);
  Run(IdOf(0, 0));
  for (std::size_t replica = 0; replica < 3; ++replica) {
    SearcherReport report = MakeReport(0, replica);
    report.healthy = false;
    router_.ApplyReport(report);
  }
  EXPECT_EQ(router_.ejected_count(), 1U);
  EXPECT_GT(Chosen(90, 3)[0], 0) << "it has just worked";
}

// Guards against a pool that stays below the floor when other replicas leave
// after an ejection.
TEST_F(RouterTest, EjectedSearcherServesWhenTheOthersLeave) {
  Start(1, 3);
  for (int n = 0; n < 3; ++n)
    Run(IdOf(0, 0), Duration(100), AttemptOutcome::kFailed);
  ASSERT_EQ(router_.ejected_count(), 1U);
  vms_[1].leaving = vms_[2].leaving = true;
  router_.ApplyVmList(vms_);
  EXPECT_EQ(router_.ChooseReplica(Ask()).searcher, IdOf(0, 0));
}

// Guards against a cold searcher getting requests while another is ready.
TEST_F(RouterTest, ColdSearcherRests) {
  Start(1, 2);
  Run(IdOf(0, 0), kUsual, AttemptOutcome::kRefusedCold);
  EXPECT_EQ(Chosen(20, 2), (std::vector<int>{0, 20}));
  timers_.AdvanceBy(Duration(300'000));
  EXPECT_GT(Chosen(40, 2)[0], 0);
}

// Guards against hedges before enough is known, and against a delay outside its
// bounds.
TEST_F(RouterTest, HedgeDelayFollowsTheServiceWithinBounds) {
  Start(1, 3);
  EXPECT_EQ(router_.EstimatedLatency(service_), Duration(6'000));
  EXPECT_FALSE(router_.HedgeDelay(service_));
  for (int n = 0; n < 64; ++n)
    Run(IdOf(0, 0), Duration(10'000));
  EXPECT_EQ(router_.HedgeDelay(service_), Duration(11'500));
  EXPECT_EQ(router_.EstimatedLatency(service_), Duration(10'000));
  for (int n = 0; n < 64; ++n)
    Run(IdOf(0, 0), Duration(50));
  EXPECT_EQ(router_.HedgeDelay(service_), Duration(1'000));
  for (int n = 0; n < 64; ++n)
    Run(IdOf(0, 0), Duration(200'000));
  EXPECT_FALSE(router_.HedgeDelay(service_)) << "the service is slow";
  EXPECT_FALSE(router_.TryTakeRetryToken(service_));
}

// Guards against a reply that matches no attempt changing any state, and
// against an unknown searcher in a send.
TEST_F(RouterTest, IgnoresUnknownAttempts) {
  Start(1, 1);
  router_.OnReply(MakeReply(AttemptId(99), IdOf(0, 0),
                            AttemptOutcome::kRefusedDraining, kUsual));
  Send(SearcherId("unknown"));
  EXPECT_EQ(router_.ChooseReplica(Ask()).searcher, IdOf(0, 0));
}

}  // namespace
}  // namespace jujubecove
