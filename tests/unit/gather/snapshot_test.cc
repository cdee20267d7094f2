#include <gtest/gtest.h>

#include <random>
#include <string>

#include "tests/unit/gather/gather_fixture.h"

namespace jujubecove {
namespace {

// Guards against a mix of versions: the shard is asked elsewhere at the pinned
// version.
TEST_F(GatherTest, OtherVersionIsAskedElsewhere) {
  Submit("snapshot");
  EXPECT_EQ(Sent(0).index_version, IndexVersion(5));
  Answer(0, 6);
  ASSERT_EQ(transport_.sent.size(), 5U);
  EXPECT_EQ(Sent(4).index_version, IndexVersion(5));
  EXPECT_NE(Sent(4).searcher, Sent(0).searcher);
  for (std::size_t n = 1; n < 5; ++n)
    Answer(n);
  EXPECT_EQ(Only().results, R"(["a5","b5","c5","d5"])");
  EXPECT_EQ(Only().index_version, IndexVersion(5));
}

// Guards against a needless gap while another common version exists, and
// against keeping replies of the version that was given up.
TEST_F(GatherTest, RestartsAtAnotherCommonVersion) {
  router_.replicas = 1;
  Submit("snapshot");
  Answer(1);
  Fail(0, AttemptOutcome::kRefusedVersion, Execution::kNotRun);
  ASSERT_EQ(transport_.sent.size(), 8U);
  EXPECT_EQ(transport_.cancelled.size(), 2U);
  EXPECT_EQ(Sent(4).index_version, IndexVersion(4));
  Answer(2);
  for (std::size_t n = 4; n < 8; ++n)
    Answer(n, 4);
  EXPECT_EQ(Only().results, R"(["a4","b4","c4","d4"])");
  EXPECT_EQ(Only().index_version, IndexVersion(4));
}

// Guards against a hidden gap when no version is left.
TEST_F(GatherTest, StatesTheGapWhenNoVersionIsLeft) {
  router_.replicas = 1;
  router_.pins.resize(1);
  Kind("snapshot").partial = true;
  Kind("snapshot").least_coverage = 0.5;
  Submit("snapshot");
  for (std::size_t n = 1; n < 4; ++n)
    Answer(n);
  Fail(0, AttemptOutcome::kRefusedVersion, Execution::kNotRun);
  router_.without_version = {ShardId("a")};
  timers_.AdvanceBy(Duration(240'000));
  EXPECT_FALSE(Only().error);
  EXPECT_EQ(Only().coverage.CauseOf(0), GapCause::kVersionUnavailable);
  EXPECT_EQ(Only().results, R"(["b5","c5","d5"])");
}

// Guards against reading unpinned when the shards have nothing in common.
TEST_F(GatherTest, NoCommonVersionIsRefused) {
  router_.pins.clear();
  Submit("snapshot");
  timers_.AdvanceBy(Duration(250'000));
  EXPECT_TRUE(transport_.sent.empty());
  EXPECT_EQ(Only().error, ErrorKind::kSnapshotUnavailable);
  EXPECT_EQ(Only().execution, Execution::kNotRun);
  EXPECT_EQ(Only().coverage.CauseOf(3), GapCause::kVersionUnavailable);
}

// Guards against failing during the moment of a roll-out in which the shards
// have no version in common.
TEST_F(GatherTest, WaitsForACommonVersion) {
  std::vector<SnapshotPin> pins = std::move(router_.pins);
  router_.pins.clear();
  Submit("snapshot");
  router_.pins = pins;
  timers_.AdvanceBy(Duration(10'000));
  EXPECT_EQ(transport_.sent.size(), 4U);
}

// Guards against mixing map epochs in a kind without a snapshot.
TEST_F(GatherTest, RestartsUnderTheNewMap) {
  router_.replicas = 1;
  Submit("read");
  Answer(1);
  router_.current = FourShards(8);
  Fail(0, AttemptOutcome::kRefusedMap, Execution::kNotRun);
  router_.without_version.clear();
  timers_.AdvanceBy(Duration(50'000));
  ASSERT_GE(transport_.sent.size(), 8U);
  for (std::size_t n = transport_.sent.size() - 4; n < transport_.sent.size();
       ++n)
    Answer(n);
  EXPECT_EQ(Only().coverage.map_version(), ShardMapVersion(8));
  EXPECT_EQ(Only().coverage.covered_count(), 4U);
}

// Guards against every query of a roll-out failing first at a version that one
// shard can't be read at.
TEST_F(GatherTest, LaterQueriesAvoidAVersionThatFailed) {
  router_.replicas = 1;
  Submit("snapshot");
  Fail(0, AttemptOutcome::kConnectFailed, Execution::kNotRun);
  ASSERT_EQ(transport_.sent.size(), 8U);
  EXPECT_EQ(Sent(4).index_version, IndexVersion(4));
  Submit("snapshot");
  EXPECT_EQ(Sent(8).index_version, IndexVersion(4));
  timers_.AdvanceBy(Duration(1'000'000));
  Submit("snapshot");
  EXPECT_EQ(Sent(12).index_version, IndexVersion(5));
}

// Guards, over random replies, against mixed versions, untrue coverage, lost or
// repeated answers and attempts past the deadline.
TEST_F(GatherTest, RandomRepliesNeverMixOrMisstate) {
  RandomEngine random(11);
  router_.hedge_delay = Duration(4'000);
  for (int round = 0; round < 300; ++round) {
    answers_.clear();
    std::size_t next = transport_.sent.size();
    Kind("snapshot").partial = round % 2 == 0;
    Kind("snapshot").least_coverage = 0.25;
    router_.budget = random() % 4;
    TimePoint end = timers_.Now() + Duration(250'000);
    Submit("snapshot");
    while (timers_.Now() < end) {
      for (; next < transport_.sent.size(); ++next) {
        UpstreamReply reply =
            GoodReply(next, transport_.sent[next].index_version->value() +
                                (random() % 8 == 0 ? 1 : 0));
        if (random() % 4 == 0)
          reply.outcome = static_cast<AttemptOutcome>(random() % 15);
        if (random() % 8 != 0)
          Answer(next, reply);
      }
      timers_.AdvanceBy(Duration(1'000));
    }
    const QueryAnswer& answer = Only();
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
