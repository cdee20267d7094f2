#include <gtest/gtest.h>

#include <random>
#include <string>

#include "tests/unit/gather/gather_fixture.h"

namespace jujubecove {
namespace {

// Guards against mixing versions: the shard is retried on another replica at
// the pinned version.
TEST_F(GatherTest, RetriesReplyFromOtherVersionOnOtherReplica) {
  Submit("snapshot");
  EXPECT_EQ(Sent(0).index_version, IndexVersion(5));
  ReplyTo(0, 6);
  ASSERT_EQ(transport_.sent.size(), 5U);
  EXPECT_EQ(Sent(4).index_version, IndexVersion(5));
  EXPECT_NE(Sent(4).searcher, Sent(0).searcher);
  for (std::size_t n = 1; n < 5; ++n)
    ReplyTo(n);
  EXPECT_EQ(OnlyAnswer().results, R"(["a5","b5","c5","d5"])");
  EXPECT_EQ(OnlyAnswer().index_version, IndexVersion(5));
}

// Guards against an avoidable gap while another common version exists, and
// against merging replies from the previous version.
TEST_F(GatherTest, RestartsAtOtherCommonVersion) {
  router_.replicas = 1;
  Submit("snapshot");
  ReplyTo(1);
  FailAttempt(0, AttemptOutcome::kRefusedVersion, Execution::kNotRun);
  ASSERT_EQ(transport_.sent.size(), 8U);
  EXPECT_EQ(transport_.cancelled.size(), 2U);
  EXPECT_EQ(Sent(4).index_version, IndexVersion(4));
  ReplyTo(2);
  for (std::size_t n = 4; n < 8; ++n)
    ReplyTo(n, 4);
  EXPECT_EQ(OnlyAnswer().results, R"(["a4","b4","c4","d4"])");
  EXPECT_EQ(OnlyAnswer().index_version, IndexVersion(4));
}

// Guards against an unreported gap when no common version is left.
TEST_F(GatherTest, ReportsGapWhenNoCommonVersionIsLeft) {
  router_.replicas = 1;
  router_.pins.resize(1);
  Kind("snapshot").partial = true;
  Kind("snapshot").least_coverage = 0.5;
  Submit("snapshot");
  for (std::size_t n = 1; n < 4; ++n)
    ReplyTo(n);
  FailAttempt(0, AttemptOutcome::kRefusedVersion, Execution::kNotRun);
  router_.without_version = {ShardId("a")};
  timers_.AdvanceBy(Duration(240'000));
  EXPECT_FALSE(OnlyAnswer().error);
  EXPECT_EQ(OnlyAnswer().coverage.CauseOf(0), GapCause::kVersionUnavailable);
  EXPECT_EQ(OnlyAnswer().results, R"(["b5","c5","d5"])");
}

// Guards against reading without a pinned version when the shards have no
// version in common.
TEST_F(GatherTest, RefusesQueryWithoutCommonVersion) {
  router_.pins.clear();
  Submit("snapshot");
  timers_.AdvanceBy(Duration(250'000));
  EXPECT_TRUE(transport_.sent.empty());
  EXPECT_EQ(OnlyAnswer().error, ErrorKind::kSnapshotUnavailable);
  EXPECT_EQ(OnlyAnswer().execution, Execution::kNotRun);
  EXPECT_EQ(OnlyAnswer().coverage.CauseOf(3), GapCause::kVersionUnavailable);
}

// Guards against failing queries while the shards briefly have no version in
// common during a rollout.
TEST_F(GatherTest, StartsWhenCommonVersionAppears) {
  std::vector<SnapshotPin> pins = std::move(router_.pins);
  router_.pins.clear();
  Submit("snapshot");
  router_.pins = pins;
  timers_.AdvanceBy(Duration(10'000));
  EXPECT_EQ(transport_.sent.size(), 4U);
}

// Guards against mixing map versions for a kind without a snapshot.
TEST_F(GatherTest, RestartsUnderNewMap) {
  router_.replicas = 1;
  Submit("read");
  ReplyTo(1);
  router_.current_map = FourShards(8);
  FailAttempt(0, AttemptOutcome::kRefusedMap, Execution::kNotRun);
  router_.without_version.clear();
  timers_.AdvanceBy(Duration(50'000));
  ASSERT_GE(transport_.sent.size(), 8U);
  for (std::size_t n = transport_.sent.size() - 4; n < transport_.sent.size();
       ++n)
    ReplyTo(n);
  EXPECT_EQ(OnlyAnswer().coverage.map_version(), ShardMapVersion(8));
  EXPECT_EQ(OnlyAnswer().coverage.covered_count(), 4U);
}

// Guards against every query of a rollout first trying a version that one shard
// cannot be read at.
TEST_F(GatherTest, AvoidsSuspectVersionInLaterQueries) {
  router_.replicas = 1;
  Submit("snapshot");
  FailAttempt(0, AttemptOutcome::kConnectFailed, Execution::kNotRun);
  ASSERT_EQ(transport_.sent.size(), 8U);
  EXPECT_EQ(Sent(4).index_version, IndexVersion(4));
  Submit("snapshot");
  EXPECT_EQ(Sent(8).index_version, IndexVersion(4));
  timers_.AdvanceBy(Duration(1'000'000));
  Submit("snapshot");
  EXPECT_EQ(Sent(12).index_version, IndexVersion(5));
}

// Guards, with random replies, against mixed versions, wrong coverage, lost or
// duplicate answers and attempts past the deadline.
TEST_F(GatherTest, RandomRepliesNeverMixVersionsOrMisreportCoverage) {
  RandomEngine random(11);
  router_.hedge_delay = Duration(4'000);
  for (int round = 0; round < 300; ++round) {
    answers_.clear();
    std::size_t next = transport_.sent.size();
    Kind("snapshot").partial = round % 2 == 0;
    Kind("snapshot").least_coverage = 0.25;
    router_.retry_budget = random() % 4;
    TimePoint end = timers_.Now() + Duration(250'000);
    Submit("snapshot");
    while (timers_.Now() < end) {
      for (; next < transport_.sent.size(); ++next) {
        UpstreamReply reply =
            SuccessfulReply(next, transport_.sent[next].index_version->value() +
                                      (random() % 8 == 0 ? 1 : 0));
        if (random() % 4 == 0)
          reply.outcome = static_cast<AttemptOutcome>(random() % 15);
        if (random() % 8 != 0)
          ReplyTo(next, reply);
      }
      timers_.AdvanceBy(Duration(1'000));
    }
    const QueryAnswer& answer = OnlyAnswer();
    ASSERT_EQ(answer.coverage.shards().size(), 4U);
    if (answer.error)
      continue;
    std::string expected = "[";
    for (std::size_t n = 0; n < 4; ++n) {
      if (answer.coverage.IsCovered(n))
        expected += (expected.size() > 1 ? ",\"" : "\"") +
                    answer.coverage.shards()[n].id.value() +
                    std::to_string(answer.index_version->value()) + "\"";
    }
    EXPECT_EQ(answer.results, expected + "]") << "round " << round;
  }
  EXPECT_EQ(engine_.in_flight(), 0U);
}

}  // namespace
}  // namespace jujubecove
