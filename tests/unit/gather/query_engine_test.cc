#include <gtest/gtest.h>

#include <string>
#include <utility>
#include <vector>

#include "tests/unit/gather/gather_fixture.h"

namespace jujubecove {
namespace {

// Guards against a fan-out that skips a shard or merges out of order.
TEST_F(GatherTest, CoversAllShardsInOrder) {
  Submit("read");
  ASSERT_EQ(transport_.sent.size(), 4U);
  for (std::size_t n : {2U, 0U, 3U, 1U})
    Answer(n);
  EXPECT_FALSE(Only().error);
  EXPECT_EQ(Only().results, R"(["a5","b5","c5","d5"])");
  EXPECT_EQ(Only().execution, Execution::kRan);
  EXPECT_EQ(Only().coverage.covered_share(), 1.0);
  EXPECT_EQ(Only().index_version, IndexVersion(5));
  EXPECT_EQ(Only().config_version, ConfigVersion(3));
  EXPECT_EQ(engine_.in_flight(), 0U);
  EXPECT_EQ(admission_.feedbacks.size(), 1U);
  EXPECT_EQ(router_.first_attempts, 4U);
}

// Guards against stating one version for shards that read different ones.
TEST_F(GatherTest, StatesNoVersionWhenShardsDiffer) {
  Submit("read");
  for (std::size_t n = 0; n < 4; ++n)
    Answer(n, n == 3 ? 6 : 5);
  EXPECT_FALSE(Only().error);
  EXPECT_FALSE(Only().index_version);
}

// Guards against an answer that claims the shards it did not ask.
TEST_F(GatherTest, OneKeyAddressesOneShard) {
  Submit("record", "harvest");
  ASSERT_EQ(transport_.sent.size(), 1U);
  EXPECT_EQ(Sent(0).shard, ShardId("c"));
  EXPECT_EQ(Sent(0).idempotency_key, "ticket");
  Answer(0);
  EXPECT_FALSE(Only().error);
  EXPECT_EQ(Only().coverage.covered_count(), 1U);
  EXPECT_EQ(Only().coverage.CauseOf(0), GapCause::kNotAddressed);
  EXPECT_EQ(Only().coverage.covered_share(), 1.0);
}

// Guards against waiting past the deadline and against an untrue statement of
// what is missing.
TEST_F(GatherTest, AnswersPartiallyAtTheDeadline) {
  Submit("partial");
  Answer(0);
  Answer(1);
  timers_.AdvanceTo(TimePoint(Duration(244'000)));
  EXPECT_TRUE(answers_.empty());
  timers_.AdvanceTo(TimePoint(Duration(250'000)));
  EXPECT_FALSE(Only().error);
  EXPECT_EQ(Only().results, R"(["a5","b5"])");
  EXPECT_EQ(Only().coverage.CauseOf(2), GapCause::kTimeout);
  EXPECT_EQ(Only().coverage.CauseOf(3), GapCause::kTimeout);
  EXPECT_EQ(transport_.cancelled.size(), 2U);
  EXPECT_FALSE(admission_.feedbacks[0].met_deadline);
}

// Guards against an incomplete answer for kinds that don't allow one.
TEST_F(GatherTest, RefusesWhenDemandsAreNotMet) {
  Submit("read");
  Answer(0);
  timers_.AdvanceTo(TimePoint(Duration(250'000)));
  EXPECT_EQ(Only().error, ErrorKind::kDeadlineExceeded);
  EXPECT_EQ(Only().execution, Execution::kUnknown);
  EXPECT_TRUE(Only().coverage.IsCovered(0));
  answers_.clear();
  Submit("partial");
  Answer(4);
  timers_.AdvanceBy(Duration(250'000));
  EXPECT_EQ(Only().error, ErrorKind::kCoverageTooLow);
}

// Guards against a lost shard that goes unstated.
TEST_F(GatherTest, StatesLostShardAsGap) {
  router_.lost = {ShardId("b")};
  Submit("partial");
  for (std::size_t n = 0; n < 3; ++n)
    Answer(n);
  EXPECT_FALSE(Only().error);
  EXPECT_EQ(Only().coverage.CauseOf(1), GapCause::kNoReplica);
  EXPECT_EQ(Only().coverage.covered_share(), 0.75);
}

// Guards against "not run" for a request of which an attempt was sent, and
// against "unknown" for one of which none was.
TEST_F(GatherTest, StatesNotRunOnlyWhenProven) {
  router_.current = nullptr;
  Submit("read");
  EXPECT_EQ(Only().error, ErrorKind::kNoUpstream);
  EXPECT_EQ(Only().execution, Execution::kNotRun);
  answers_.clear();
  router_.current = FourShards(7);
  admission_.refusal = ErrorKind::kOverloaded;
  Submit("read");
  EXPECT_EQ(Only().error, ErrorKind::kOverloaded);
  EXPECT_EQ(Only().execution, Execution::kNotRun);
  EXPECT_EQ(Only().coverage.CauseOf(0), GapCause::kRefused);
  answers_.clear();
  admission_.refusal.reset();
  transport_.room = 3;
  Submit("read");
  EXPECT_EQ(Only().error, ErrorKind::kOverloaded);
  EXPECT_EQ(Only().execution, Execution::kNotRun);
  EXPECT_TRUE(transport_.sent.empty());
}

// Guards against a query that is stuck in the admission queue.
TEST_F(GatherTest, QueuedQueryEndsAtItsDeadline) {
  admission_.holds = true;
  Submit("read");
  timers_.AdvanceBy(Duration(250'000));
  EXPECT_EQ(Only().error, ErrorKind::kDeadlineUnmeetable);
  EXPECT_EQ(Only().execution, Execution::kNotRun);
}

// Guards against a second effect: a lost reply must not be retried.
TEST_F(GatherTest, NonIdempotentIsNotRepeatedAfterALostReply) {
  Submit("record", "a");
  Fail(0, AttemptOutcome::kConnectionLost, Execution::kUnknown);
  EXPECT_EQ(transport_.sent.size(), 1U);
  EXPECT_EQ(Only().error, ErrorKind::kOutcomeUnknown);
  EXPECT_EQ(Only().execution, Execution::kUnknown);
}

// Guards against giving up on a request that is proven not to have run.
TEST_F(GatherTest, NonIdempotentIsRepeatedAfterAProvenRefusal) {
  Submit("record", "a");
  Fail(0, AttemptOutcome::kRefusedBusy, Execution::kNotRun);
  timers_.AdvanceBy(Duration(10'000));
  ASSERT_EQ(transport_.sent.size(), 2U);
  EXPECT_NE(Sent(0).searcher, Sent(1).searcher);
  Answer(1);
  EXPECT_FALSE(Only().error);
}

// Guards against "unknown" for a request that every searcher refused.
TEST_F(GatherTest, NonIdempotentThatWasOnlyRefusedDidNotRun) {
  router_.budget = 0;
  Submit("record", "a");
  Fail(0, AttemptOutcome::kRefusedBusy, Execution::kNotRun);
  timers_.AdvanceBy(Duration(250'000));
  EXPECT_EQ(Only().error, ErrorKind::kOverloaded);
  EXPECT_EQ(Only().execution, Execution::kNotRun);
  EXPECT_EQ(transport_.sent.size(), 1U);
}

// Guards against repeating beyond the budget.
TEST_F(GatherTest, RepeatsArePaidFromTheBudget) {
  router_.budget = 1;
  Submit("partial");
  Fail(0, AttemptOutcome::kFailed, Execution::kUnknown);
  Fail(1, AttemptOutcome::kFailed, Execution::kUnknown);
  timers_.AdvanceBy(Duration(100'000));
  EXPECT_EQ(transport_.sent.size(), 5U);
}

// Guards against merging a body that is no JSON array.
TEST_F(GatherTest, MalformedBodyIsRetriedElsewhere) {
  Submit("read");
  UpstreamReply reply = GoodReply(0, 5);
  reply.body = "[1,2";
  Answer(0, reply);
  EXPECT_EQ(router_.outcomes.back(), AttemptOutcome::kBadReply);
  timers_.AdvanceBy(Duration(10'000));
  ASSERT_EQ(transport_.sent.size(), 5U);
  EXPECT_NE(Sent(4).searcher, Sent(0).searcher);
  for (std::size_t n : {1U, 2U, 3U, 4U})
    Answer(n);
  EXPECT_EQ(Only().results, R"(["a5","b5","c5","d5"])");
}

// Guards against a late, repeated or unknown reply that changes an answer.
TEST_F(GatherTest, LateAndUnknownRepliesAreDropped) {
  Submit("partial");
  Answer(0);
  Answer(0);
  Answer(1);
  timers_.AdvanceBy(Duration(250'000));
  Answer(2);
  UpstreamReply reply = GoodReply(3, 5);
  reply.attempt = AttemptId(999);
  transport_.Reply(reply);
  EXPECT_EQ(Only().results, R"(["a5","b5"])");
  EXPECT_EQ(router_.outcomes.size(), 3U);
}

// Guards against hedging early, twice or for a slow service, and against two
// replies of one shard in the answer.
TEST_F(GatherTest, HedgesTheLastShard) {
  router_.hedge_delay = Duration(20'000);
  Submit("read");
  Answer(0);
  Answer(1);
  timers_.AdvanceBy(Duration(30'000));
  EXPECT_EQ(transport_.sent.size(), 4U);
  Answer(2);
  timers_.AdvanceBy(Duration(1));
  ASSERT_EQ(transport_.sent.size(), 5U);
  EXPECT_EQ(Sent(4).shard, ShardId("d"));
  EXPECT_NE(Sent(4).searcher, Sent(3).searcher);
  timers_.AdvanceBy(Duration(100'000));
  EXPECT_EQ(transport_.sent.size(), 5U);
  Answer(4);
  EXPECT_EQ(transport_.cancelled, std::vector<AttemptId>{Sent(3).attempt});
  Answer(3);
  EXPECT_EQ(Only().results, R"(["a5","b5","c5","d5"])");
}

// Guards against a hedge of a request that has an effect.
TEST_F(GatherTest, NeverHedgesNonIdempotent) {
  router_.hedge_delay = Duration(1'000);
  Submit("record", "a");
  timers_.AdvanceBy(Duration(200'000));
  EXPECT_EQ(transport_.sent.size(), 1U);
}

// Guards against serving a background query before an urgent one when a
// replica becomes free.
TEST_F(GatherTest, WaitingShardsGoByUrgency) {
  Kind("partial").urgency = Urgency::kBackground;
  Kind("read").urgency = Urgency::kCritical;
  Submit("read");
  router_.busy = {ShardId("a")};
  Submit("partial");
  Submit("read");
  ASSERT_EQ(transport_.sent.size(), 10U);
  router_.busy.clear();
  Answer(0);
  ASSERT_EQ(transport_.sent.size(), 12U);
  EXPECT_EQ(Sent(10).request, RequestId(3));
  EXPECT_EQ(Sent(11).request, RequestId(2));
}

// Guards against a wait that no reply ends.
TEST_F(GatherTest, WaitingShardIsRetriedWithoutAReply) {
  router_.busy = {ShardId("a")};
  Submit("read");
  EXPECT_EQ(transport_.sent.size(), 3U);
  router_.busy.clear();
  timers_.AdvanceBy(Duration(5'000));
  EXPECT_EQ(transport_.sent.size(), 4U);
}

// Guards against work for a caller that has left, and against ending a request
// with an effect.
TEST_F(GatherTest, AbandonCancelsOnlyIdempotentQueries) {
  RequestId read = Submit("read");
  engine_.Abandon(read);
  EXPECT_EQ(transport_.cancelled.size(), 4U);
  EXPECT_TRUE(Only().error);
  answers_.clear();
  RequestId record = Submit("record", "a");
  engine_.Abandon(record);
  EXPECT_EQ(transport_.cancelled.size(), 4U);
  Answer(4);
  EXPECT_FALSE(Only().error);
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

// Guards against spans that are lost from the caller's trace.
TEST_F(GatherTest, EmitsASpanForEachHop) {
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
  Answer(0);
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
