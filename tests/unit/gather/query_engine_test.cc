#include <gtest/gtest.h>

#include <string>
#include <utility>
#include <vector>

#include "tests/unit/gather/gather_fixture.h"

namespace jujubecove {
namespace {

// Guards against a fan-out that skips a shard or merges out of order.
TEST_F(GatherTest, MergesAllShardsInOrder) {
  Submit("read");
  ASSERT_EQ(transport_.sent.size(), 4U);
  for (std::size_t n : {2U, 0U, 3U, 1U})
    ReplyTo(n);
  EXPECT_FALSE(OnlyAnswer().error);
  EXPECT_EQ(OnlyAnswer().results, R"(["a5","b5","c5","d5"])");
  EXPECT_EQ(OnlyAnswer().execution, Execution::kRan);
  EXPECT_EQ(OnlyAnswer().coverage.covered_share(), 1.0);
  EXPECT_EQ(OnlyAnswer().index_version, IndexVersion(5));
  EXPECT_EQ(OnlyAnswer().config_version, ConfigVersion(3));
  EXPECT_EQ(engine_.in_flight(), 0U);
  EXPECT_EQ(admission_.feedbacks.size(), 1U);
  EXPECT_EQ(router_.first_attempts, 4U);
}

// Guards against reporting one version when shards read different ones.
TEST_F(GatherTest, ReportsNoVersionWhenShardVersionsDiffer) {
  Submit("read");
  for (std::size_t n = 0; n < 4; ++n)
    ReplyTo(n, n == 3 ? 6 : 5);
  EXPECT_FALSE(OnlyAnswer().error);
  EXPECT_FALSE(OnlyAnswer().index_version);
}

// Guards against reporting shards as covered that were not addressed.
TEST_F(GatherTest, SendsOneKeyQueryToOneShard) {
  Submit("record", "harvest");
  ASSERT_EQ(transport_.sent.size(), 1U);
  EXPECT_EQ(Sent(0).shard, ShardId("c"));
  EXPECT_EQ(Sent(0).idempotency_key, "ticket");
  ReplyTo(0);
  EXPECT_FALSE(OnlyAnswer().error);
  EXPECT_EQ(OnlyAnswer().coverage.covered_count(), 1U);
  EXPECT_EQ(OnlyAnswer().coverage.CauseOf(0), GapCause::kNotAddressed);
  EXPECT_EQ(OnlyAnswer().coverage.covered_share(), 1.0);
}

// Guards against waiting past the deadline and against reporting the wrong
// missing shards.
TEST_F(GatherTest, ReturnsPartialAnswerAtDeadline) {
  Submit("partial");
  ReplyTo(0);
  ReplyTo(1);
  timers_.AdvanceTo(TimePoint(Duration(244'000)));
  EXPECT_TRUE(answers_.empty());
  timers_.AdvanceTo(TimePoint(Duration(250'000)));
  EXPECT_FALSE(OnlyAnswer().error);
  EXPECT_EQ(OnlyAnswer().results, R"(["a5","b5"])");
  EXPECT_EQ(OnlyAnswer().coverage.CauseOf(2), GapCause::kTimeout);
  EXPECT_EQ(OnlyAnswer().coverage.CauseOf(3), GapCause::kTimeout);
  EXPECT_EQ(transport_.cancelled.size(), 2U);
  EXPECT_FALSE(admission_.feedbacks[0].met_deadline);
}

// Guards against a partial answer for kinds that do not allow one or require
// more coverage.
TEST_F(GatherTest, FailsWhenRequiredCoverageIsNotReached) {
  Submit("read");
  ReplyTo(0);
  timers_.AdvanceTo(TimePoint(Duration(250'000)));
  EXPECT_EQ(OnlyAnswer().error, ErrorKind::kDeadlineExceeded);
  EXPECT_EQ(OnlyAnswer().execution, Execution::kUnknown);
  EXPECT_TRUE(OnlyAnswer().coverage.IsCovered(0));
  answers_.clear();
  Submit("partial");
  ReplyTo(4);
  timers_.AdvanceBy(Duration(250'000));
  EXPECT_EQ(OnlyAnswer().error, ErrorKind::kCoverageTooLow);
}

// Guards against a shard without replicas that is missing from the gaps.
TEST_F(GatherTest, ReportsShardWithoutReplicaAsGap) {
  router_.without_replica = {ShardId("b")};
  Submit("partial");
  for (std::size_t n = 0; n < 3; ++n)
    ReplyTo(n);
  EXPECT_FALSE(OnlyAnswer().error);
  EXPECT_EQ(OnlyAnswer().coverage.CauseOf(1), GapCause::kNoReplica);
  EXPECT_EQ(OnlyAnswer().coverage.covered_share(), 0.75);
}

// Guards against "unknown" for a request of which no attempt was sent.
TEST_F(GatherTest, ReportsNotRunWhenNothingWasSent) {
  router_.current_map = nullptr;
  Submit("read");
  EXPECT_EQ(OnlyAnswer().error, ErrorKind::kNoUpstream);
  EXPECT_EQ(OnlyAnswer().execution, Execution::kNotRun);
  answers_.clear();
  router_.current_map = FourShards(7);
  admission_.refusal = ErrorKind::kOverloaded;
  Submit("read");
  EXPECT_EQ(OnlyAnswer().error, ErrorKind::kOverloaded);
  EXPECT_EQ(OnlyAnswer().execution, Execution::kNotRun);
  EXPECT_EQ(OnlyAnswer().coverage.CauseOf(0), GapCause::kRefused);
  answers_.clear();
  admission_.refusal.reset();
  transport_.capacity = 3;
  Submit("read");
  EXPECT_EQ(OnlyAnswer().error, ErrorKind::kOverloaded);
  EXPECT_EQ(OnlyAnswer().execution, Execution::kNotRun);
  EXPECT_TRUE(transport_.sent.empty());
}

// Guards against a query that stays in the admission queue after its deadline.
TEST_F(GatherTest, RefusesQueuedQueryAtDeadline) {
  admission_.holds_queries = true;
  Submit("read");
  timers_.AdvanceBy(Duration(250'000));
  EXPECT_EQ(OnlyAnswer().error, ErrorKind::kDeadlineUnmeetable);
  EXPECT_EQ(OnlyAnswer().execution, Execution::kNotRun);
}

// Guards against a second effect: the request may have run although its reply
// was lost.
TEST_F(GatherTest, DoesNotRetryNonIdempotentAfterLostReply) {
  Submit("record", "a");
  FailAttempt(0, AttemptOutcome::kConnectionLost, Execution::kUnknown);
  EXPECT_EQ(transport_.sent.size(), 1U);
  EXPECT_EQ(OnlyAnswer().error, ErrorKind::kOutcomeUnknown);
  EXPECT_EQ(OnlyAnswer().execution, Execution::kUnknown);
}

// Guards against failing a request that provably did not run and can be
// retried.
TEST_F(GatherTest, RetriesNonIdempotentAfterRefusal) {
  Submit("record", "a");
  FailAttempt(0, AttemptOutcome::kRefusedBusy, Execution::kNotRun);
  timers_.AdvanceBy(Duration(10'000));
  ASSERT_EQ(transport_.sent.size(), 2U);
  EXPECT_NE(Sent(0).searcher, Sent(1).searcher);
  ReplyTo(1);
  EXPECT_FALSE(OnlyAnswer().error);
}

// Guards against "unknown" for a request that searchers only refused.
TEST_F(GatherTest, ReportsNotRunWhenAllAttemptsWereRefused) {
  router_.retry_budget = 0;
  Submit("record", "a");
  FailAttempt(0, AttemptOutcome::kRefusedBusy, Execution::kNotRun);
  timers_.AdvanceBy(Duration(250'000));
  EXPECT_EQ(OnlyAnswer().error, ErrorKind::kOverloaded);
  EXPECT_EQ(OnlyAnswer().execution, Execution::kNotRun);
  EXPECT_EQ(transport_.sent.size(), 1U);
}

// Guards against retries beyond the retry budget.
TEST_F(GatherTest, LimitsRetriesToBudget) {
  router_.retry_budget = 1;
  Submit("partial");
  FailAttempt(0, AttemptOutcome::kFailed, Execution::kUnknown);
  FailAttempt(1, AttemptOutcome::kFailed, Execution::kUnknown);
  timers_.AdvanceBy(Duration(100'000));
  EXPECT_EQ(transport_.sent.size(), 5U);
}

// Guards against merging a body that is not a JSON array.
TEST_F(GatherTest, RetriesMalformedBodyOnOtherReplica) {
  Submit("read");
  UpstreamReply reply = SuccessfulReply(0, 5);
  reply.body = "[1,2";
  ReplyTo(0, reply);
  EXPECT_EQ(router_.outcomes.back(), AttemptOutcome::kBadReply);
  timers_.AdvanceBy(Duration(10'000));
  ASSERT_EQ(transport_.sent.size(), 5U);
  EXPECT_NE(Sent(4).searcher, Sent(0).searcher);
  for (std::size_t n : {1U, 2U, 3U, 4U})
    ReplyTo(n);
  EXPECT_EQ(OnlyAnswer().results, R"(["a5","b5","c5","d5"])");
}

// Guards against late, duplicate or unknown replies that change an answer.
TEST_F(GatherTest, DropsLateAndUnknownReplies) {
  Submit("partial");
  ReplyTo(0);
  ReplyTo(0);
  ReplyTo(1);
  timers_.AdvanceBy(Duration(250'000));
  ReplyTo(2);
  UpstreamReply reply = SuccessfulReply(3, 5);
  reply.attempt = AttemptId(999);
  transport_.Reply(reply);
  EXPECT_EQ(OnlyAnswer().results, R"(["a5","b5"])");
  EXPECT_EQ(router_.outcomes.size(), 3U);
}

// Guards against hedging too early, twice or while most shards are slow, and
// against merging two replies of one shard.
TEST_F(GatherTest, HedgesLastShardOnceWhenSlow) {
  router_.hedge_delay = Duration(20'000);
  Submit("read");
  ReplyTo(0);
  ReplyTo(1);
  timers_.AdvanceBy(Duration(30'000));
  EXPECT_EQ(transport_.sent.size(), 4U);
  ReplyTo(2);
  timers_.AdvanceBy(Duration(1));
  ASSERT_EQ(transport_.sent.size(), 5U);
  EXPECT_EQ(Sent(4).shard, ShardId("d"));
  EXPECT_NE(Sent(4).searcher, Sent(3).searcher);
  timers_.AdvanceBy(Duration(100'000));
  EXPECT_EQ(transport_.sent.size(), 5U);
  ReplyTo(4);
  EXPECT_EQ(transport_.cancelled, std::vector<AttemptId>{Sent(3).attempt});
  ReplyTo(3);
  EXPECT_EQ(OnlyAnswer().results, R"(["a5","b5","c5","d5"])");
}

// Guards against a second effect caused by a hedge.
TEST_F(GatherTest, DoesNotHedgeNonIdempotent) {
  router_.hedge_delay = Duration(1'000);
  Submit("record", "a");
  timers_.AdvanceBy(Duration(200'000));
  EXPECT_EQ(transport_.sent.size(), 1U);
}

// Guards against dispatching a background query before an urgent one when a
// replica is below its limit again.
TEST_F(GatherTest, RetriesWaitingShardsInUrgencyOrder) {
  Kind("partial").urgency = Urgency::kBackground;
  Kind("read").urgency = Urgency::kCritical;
  Submit("read");
  router_.at_limit = {ShardId("a")};
  Submit("partial");
  Submit("read");
  ASSERT_EQ(transport_.sent.size(), 10U);
  router_.at_limit.clear();
  ReplyTo(0);
  ASSERT_EQ(transport_.sent.size(), 12U);
  EXPECT_EQ(Sent(10).request, RequestId(3));
  EXPECT_EQ(Sent(11).request, RequestId(2));
}

// Guards against a shard that waits forever because no reply arrives.
TEST_F(GatherTest, RetriesWaitingShardWithoutReply) {
  router_.at_limit = {ShardId("a")};
  Submit("read");
  EXPECT_EQ(transport_.sent.size(), 3U);
  router_.at_limit.clear();
  timers_.AdvanceBy(Duration(5'000));
  EXPECT_EQ(transport_.sent.size(), 4U);
}

// Guards against work for a client that has disconnected, and against
// cancelling a non-idempotent request.
TEST_F(GatherTest, AbandonCancelsOnlyIdempotentQueries) {
  RequestId read = Submit("read");
  engine_.Abandon(read);
  EXPECT_EQ(transport_.cancelled.size(), 4U);
  EXPECT_TRUE(OnlyAnswer().error);
  answers_.clear();
  RequestId record = Submit("record", "a");
  engine_.Abandon(record);
  EXPECT_EQ(transport_.cancelled.size(), 4U);
  ReplyTo(4);
  EXPECT_FALSE(OnlyAnswer().error);
}

class RecordingSink : public TraceSink {
 public:
  bool ShouldRecord(const SpanContext& context) const override {
    return context.sampled;
  }
  void Emit(SpanRecord record) override {
    records.push_back(std::move(record));
  }

  std::vector<SpanRecord> records;
};

// Guards against spans that are missing from the caller's trace.
TEST_F(GatherTest, EmitsSpansInTraceOfCaller) {
  RecordingSink sink;
  QueryEngineImpl engine(
      EngineDependencies{timers_, router_, admission_, transport_, &sink},
      EngineOptions(), 1);
  engine.SetDocument(document_);
  QueryRequest request;
  request.kind = KindName("record");
  request.key = "a";
  request.traceparent =
      "00-0123456789abcdef0123456789abcdef-00000000000000ff-01";
  engine.Submit(request, [](const QueryAnswer& answer) {
    EXPECT_EQ(answer.trace_id, "0123456789abcdef0123456789abcdef");
  });
  ReplyTo(0);
  ASSERT_EQ(sink.records.size(), 3U);
  const SpanRecord& query = sink.records[2];
  EXPECT_EQ(query.parent, (SpanId{0, 0, 0, 0, 0, 0, 0, 0xff}));
  EXPECT_EQ(sink.records[0].name, "queue");
  const SpanRecord& attempt = sink.records[1];
  EXPECT_EQ(attempt.parent, query.context.span_id);
  EXPECT_EQ(Sent(0).traceparent, attempt.context.ToTraceparent());
}

}  // namespace
}  // namespace jujubecove
