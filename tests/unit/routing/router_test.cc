#include "routing/router.h"

#include <gtest/gtest.h>

#include <algorithm>

#include "routing/make_router.h"
#include "tests/unit/routing/router_fixture.h"

namespace jujubecove {
namespace {

using RouterTest = RouterFixture;
constexpr Duration kNormalLatency{6'000};
constexpr Duration kSlowLatency{120'000};

// Guards against a router that chooses a replica before any searcher is known.
TEST_F(RouterTest, NewRouterHasNoReplicaMapOrSnapshot) {
  std::unique_ptr<Router> router = MakeRouter(timers_, kSeed);
  EXPECT_EQ(router->ChooseReplica(ReplicaRequest{}).status,
            ReplicaChoiceStatus::kNoReplica);
  EXPECT_EQ(router->CurrentMap(service_), nullptr);
  EXPECT_FALSE(router->PickSnapshot(service_, {}));
  EXPECT_FALSE(router->HedgeDelay(service_));
}

// Guards against sending attempts to a draining searcher, whether the VM list,
// a report or a reply says that it drains.
TEST_F(RouterTest, DrainingSearcherGetsNoNewAttempts) {
  StartService(1, 4);
  vms_[0].leaving = true;
  router_.ApplyVmList(vms_);
  SearcherReport report = MakeReport(0, 1);
  report.draining = true;
  router_.ApplyReport(report);
  RunAttempt(IdOf(0, 2), kNormalLatency, AttemptOutcome::kRefusedDraining);
  EXPECT_EQ(CountChoices(50, 4), (std::vector<int>{0, 0, 0, 50}));
  AttemptId attempt = Send(IdOf(0, 3));
  UpstreamReply reply =
      MakeReply(attempt, IdOf(0, 3), AttemptOutcome::kOk, kNormalLatency);
  reply.draining = true;
  router_.OnReply(reply);
  EXPECT_EQ(router_.ChooseReplica(MakeRequest()).status,
            ReplicaChoiceStatus::kNoReplica);
}

// Guards against a stale report that cancels a drain signal, and against a
// searcher that stays excluded after it is back in service.
TEST_F(RouterTest, StaleReportDoesNotEndDraining) {
  StartService(1, 2);
  RunAttempt(IdOf(0, 0), kNormalLatency, AttemptOutcome::kRefusedDraining);
  router_.ApplyReport(MakeReport(0, 0));
  EXPECT_EQ(CountChoices(20, 2)[0], 0);
  timers_.AdvanceBy(Duration(11'000'000));
  router_.ApplyReport(MakeReport(0, 0));
  EXPECT_GT(CountChoices(50, 2)[0], 0);
}

// Guards against an incomplete or empty VM list that takes working searchers
// out of use, and against lost searchers that stay in use for ever.
TEST_F(RouterTest, UnlistedSearcherServesUntilItsReportIsOld) {
  StartService(1, 3);
  std::vector<SearcherVm> two(vms_.begin(), vms_.begin() + 2);
  router_.ApplyVmList(two);
  EXPECT_GT(CountChoices(90, 3)[2], 0);
  timers_.AdvanceBy(Duration(10'000'001));
  EXPECT_EQ(CountChoices(90, 3)[2], 0);
  router_.ApplyVmList({});
  EXPECT_EQ(router_.ChooseReplica(MakeRequest()).status,
            ReplicaChoiceStatus::kChosen)
      << "an empty VM list must not empty a replica group";
}

// Guards against ignoring a replica's latency or its requests in flight.
TEST_F(RouterTest, ChoosesLeastExpectedWait) {
  StartService(1, 3, 8);
  for (int n = 0; n < 8; ++n) {
    RunAttempt(IdOf(0, 0), Duration(10'000));
    RunAttempt(IdOf(0, 1), Duration(6'000));
    RunAttempt(IdOf(0, 2), Duration(12'000));
  }
  EXPECT_EQ(CountChoices(50, 3), (std::vector<int>{0, 50, 0}));
  Send(IdOf(0, 1));
  EXPECT_EQ(CountChoices(50, 3)[1], 0);
}

// Guards against exceeding the concurrency limit, and against reporting "no
// replica" when all are at their limit.
TEST_F(RouterTest, ChoosesNoReplicaAtItsConcurrencyLimit) {
  StartService(1, 2);
  Send(router_.ChooseReplica(MakeRequest()).searcher);
  Send(router_.ChooseReplica(MakeRequest()).searcher);
  EXPECT_EQ(router_.ChooseReplica(MakeRequest()).status,
            ReplicaChoiceStatus::kAllAtLimit);
}

// Guards against trying the same replica twice for one query.
TEST_F(RouterTest, SkipsTriedReplicas) {
  StartService(1, 2);
  ReplicaRequest request = MakeRequest();
  request.tried = {IdOf(0, 0)};
  EXPECT_EQ(router_.ChooseReplica(request).searcher, IdOf(0, 1));
  request.tried.push_back(IdOf(0, 1));
  EXPECT_EQ(router_.ChooseReplica(request).status,
            ReplicaChoiceStatus::kNoReplica);
}

// Guards against a straggler that stays in use, and against an ejection that
// leaves fewer than half of the replicas.
TEST_F(RouterTest, EjectsStragglersButKeepsHalfActive) {
  StartService(1, 3);
  for (int n = 0; n < 3; ++n) {
    RunAttempt(IdOf(0, 0));
    RunAttempt(IdOf(0, 1));
    RunAttempt(IdOf(0, 2));
  }
  for (int n = 0; n < 4; ++n) {
    RunAttempt(IdOf(0, 2), kSlowLatency);
    RunAttempt(IdOf(0, 1), kSlowLatency);
  }
  EXPECT_EQ(router_.ejected_count(), 1U);
}

// Guards against a straggler that stays in use because hedges win before it
// answers, so that its real latency is never seen.
TEST_F(RouterTest, EjectsStragglerWhoseAttemptsAreCancelled) {
  StartService(1, 3);
  for (int n = 0; n < 10; ++n) {
    for (std::size_t replica = 0; replica < 3; ++replica)
      RunAttempt(IdOf(0, replica));
  }
  for (int n = 0; n < 2; ++n)
    RunAttempt(IdOf(0, 0), Duration(17'000), AttemptOutcome::kCancelled);
  EXPECT_EQ(router_.ejected_count(), 0U);
  RunAttempt(IdOf(0, 0), Duration(17'000), AttemptOutcome::kCancelled);
  EXPECT_EQ(router_.ejected_count(), 1U);
}

// Guards against a straggler that stays in use because a searcher that was only
// briefly slow is already ejected and no further ejection is allowed.
TEST_F(RouterTest, EjectsSlowerSearcherInPlaceOfFasterOne) {
  StartService(1, 3);
  for (int n = 0; n < 3; ++n) {
    for (std::size_t replica = 0; replica < 3; ++replica)
      RunAttempt(IdOf(0, replica));
  }
  RunAttempt(IdOf(0, 0), Duration(80'000));
  ASSERT_EQ(router_.ejected_count(), 1U);
  for (int n = 0; n < 6; ++n) {
    RunAttempt(IdOf(0, 2));
    RunAttempt(IdOf(0, 1), kSlowLatency);
  }
  EXPECT_EQ(router_.ejected_count(), 1U);
  std::vector<int> chosen = CountChoices(90, 3);
  EXPECT_EQ(chosen[1], 0);
}

// Guards against ejections when the whole service becomes slower.
TEST_F(RouterTest, EjectsNoneWhenAllAreEquallySlow) {
  StartService(1, 3);
  for (int n = 0; n < 10; ++n) {
    for (std::size_t replica = 0; replica < 3; ++replica)
      RunAttempt(IdOf(0, replica), n < 5 ? kNormalLatency : 5 * kNormalLatency);
  }
  EXPECT_EQ(router_.ejected_count(), 0U);
}

// Guards against a searcher whose fast failures attract load.
TEST_F(RouterTest, EjectsFailingSearcher) {
  StartService(1, 3);
  for (std::size_t replica = 0; replica < 3; ++replica)
    RunAttempt(IdOf(0, replica));
  for (int n = 0; n < 3; ++n)
    RunAttempt(IdOf(0, 0), Duration(100), AttemptOutcome::kFailed);
  EXPECT_EQ(CountChoices(50, 3)[0], 0);
}

// Guards against ejecting a searcher because its connection went silent.
TEST_F(RouterTest, SilentConnectionDoesNotEjectSearcher) {
  StartService(1, 3);
  for (int n = 0; n < 10; ++n)
    RunAttempt(IdOf(0, 0), Duration(60'000), AttemptOutcome::kSilent);
  EXPECT_EQ(router_.ejected_count(), 0U);
  EXPECT_GT(CountChoices(90, 3)[0], 0);
}

// Guards against probes that slow down more than one query in 500, and against
// a recovered searcher that is never used again.
TEST_F(RouterTest, ProbesRarelyAndUnejectsRecoveredSearcher) {
  StartService(1, 3);
  for (int n = 0; n < 3; ++n) {
    for (std::size_t replica = 0; replica < 3; ++replica)
      RunAttempt(IdOf(0, replica));
  }
  RunAttempt(IdOf(0, 0), kSlowLatency);
  ASSERT_EQ(router_.ejected_count(), 1U);
  auto serve = [this](int queries, Duration latency) {
    int probes = 0;
    for (int n = 0; n < queries; ++n) {
      router_.OnFirstAttempt(service_);
      SearcherId id = router_.ChooseReplica(MakeRequest()).searcher;
      probes += id == IdOf(0, 0) ? 1 : 0;
      RunAttempt(id, id == IdOf(0, 0) ? latency : kNormalLatency);
    }
    return probes;
  };
  int probes = serve(10'000, kSlowLatency);
  EXPECT_GT(probes, 0);
  EXPECT_LE(probes, 20);
  serve(10'000, kNormalLatency);
  EXPECT_EQ(router_.ejected_count(), 0U);
  EXPECT_GT(serve(100, kNormalLatency), 10);
}

// Guards against a searcher that stays ejected for ever because its probe was
// not sent, or ended with an outcome that says nothing about the searcher.
TEST_F(RouterTest, SendsNextProbeWhenOneIsLost) {
  StartService(1, 3);
  for (int n = 0; n < 3; ++n)
    RunAttempt(IdOf(0, 0), Duration(100), AttemptOutcome::kFailed);
  ASSERT_EQ(router_.ejected_count(), 1U);
  auto next_probe = [this] {
    for (int n = 0; n < 2'000; ++n) {
      timers_.AdvanceBy(Duration(10'000));
      router_.OnFirstAttempt(service_);
      ReplicaChoice choice = router_.ChooseReplica(MakeRequest());
      if (choice.probe && choice.searcher == IdOf(0, 0))
        return true;
      RunAttempt(choice.searcher);
    }
    return false;
  };
  ASSERT_TRUE(next_probe());
  ASSERT_TRUE(next_probe()) << "the first probe was not sent";
  RunAttempt(IdOf(0, 0), kNormalLatency, AttemptOutcome::kSilent);
  EXPECT_EQ(router_.ejected_count(), 1U);
  ASSERT_TRUE(next_probe());
  RunAttempt(IdOf(0, 0));
  EXPECT_EQ(router_.ejected_count(), 0U);
}

// Guards against unhealthy reports that take a working searcher, or all
// replicas of a shard, out of use.
TEST_F(RouterTest, UnhealthyReportsEjectOnlyOneOfThree) {
  StartService(1, 3);
  RunAttempt(IdOf(0, 0));
  for (std::size_t replica = 0; replica < 3; ++replica) {
    SearcherReport report = MakeReport(0, replica);
    report.healthy = false;
    router_.ApplyReport(report);
  }
  EXPECT_EQ(router_.ejected_count(), 1U);
  EXPECT_GT(CountChoices(90, 3)[0], 0) << "it succeeded recently";
}

// Guards against a shard without usable replicas because the others drain after
// an ejection.
TEST_F(RouterTest, EjectedSearcherServesWhenOthersDrain) {
  StartService(1, 3);
  for (int n = 0; n < 3; ++n)
    RunAttempt(IdOf(0, 0), Duration(100), AttemptOutcome::kFailed);
  ASSERT_EQ(router_.ejected_count(), 1U);
  vms_[1].leaving = vms_[2].leaving = true;
  router_.ApplyVmList(vms_);
  EXPECT_EQ(router_.ChooseReplica(MakeRequest()).searcher, IdOf(0, 0));
}

// Guards against sending to a cold searcher while another one is warm.
TEST_F(RouterTest, BacksOffFromColdSearcher) {
  StartService(1, 2);
  RunAttempt(IdOf(0, 0), kNormalLatency, AttemptOutcome::kRefusedCold);
  EXPECT_EQ(CountChoices(20, 2), (std::vector<int>{0, 20}));
  timers_.AdvanceBy(Duration(300'000));
  EXPECT_GT(CountChoices(40, 2)[0], 0);
}

// Guards against hedging with too few samples, and against a delay outside its
// bounds.
TEST_F(RouterTest, HedgeDelayFollowsLatencyWithinBounds) {
  StartService(1, 3);
  EXPECT_EQ(router_.EstimatedLatency(service_), Duration(6'000));
  EXPECT_FALSE(router_.HedgeDelay(service_));
  for (int n = 0; n < 64; ++n)
    RunAttempt(IdOf(0, 0), Duration(10'000));
  EXPECT_EQ(router_.HedgeDelay(service_), Duration(11'500));
  EXPECT_EQ(router_.EstimatedLatency(service_), Duration(10'000));
  for (int n = 0; n < 64; ++n)
    RunAttempt(IdOf(0, 0), Duration(50));
  EXPECT_EQ(router_.HedgeDelay(service_), Duration(1'000));
  for (int n = 0; n < 64; ++n)
    RunAttempt(IdOf(0, 0), Duration(200'000));
  EXPECT_FALSE(router_.HedgeDelay(service_)) << "the service is slow";
  EXPECT_FALSE(router_.TryTakeRetryToken(service_));
}

// Guards against state changes by a reply without an attempt, and against a
// send to an unknown searcher.
TEST_F(RouterTest, IgnoresUnknownAttemptsAndSearchers) {
  StartService(1, 1);
  router_.OnReply(MakeReply(AttemptId(99), IdOf(0, 0),
                            AttemptOutcome::kRefusedDraining, kNormalLatency));
  Send(SearcherId("unknown"));
  EXPECT_EQ(router_.ChooseReplica(MakeRequest()).searcher, IdOf(0, 0));
}

}  // namespace
}  // namespace jujubecove
