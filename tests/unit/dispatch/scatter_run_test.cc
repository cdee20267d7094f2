#include "tests/unit/dispatch/dispatch_fixture.h"

namespace jujubecove {
namespace {

using Transport = FakeSearcherTransport;

std::string Record(char c) {
  return std::string(16, c);
}

class ScatterRunTest : public DispatchFixture {};

TEST_F(ScatterRunTest, MergesTopRecordsInDescendingOrder) {
  Configure(2, 1.0);
  AddSearchers("s0", 1);
  AddSearchers("s1", 1);
  Submit("/scatter/1");
  transport_.Succeed("s0.0", Record('a') + Record('d'));
  EXPECT_FALSE(answer_);
  transport_.Succeed("s1.0", Record('d') + Record('b') + "short");
  ASSERT_TRUE(answer_);
  EXPECT_EQ(answer_->body, Record('d') + Record('d') + Record('b'));
  EXPECT_EQ(answer_->part_proofs,
            (std::vector<std::string>{"proof-s0.0", "proof-s1.0"}));
  EXPECT_EQ(answer_->missing_parts, 0);
}

// Guards against an answer that misses its target because of one slow part.
TEST_F(ScatterRunTest, AnswersAtTargetWithoutSlowestPart) {
  Configure(4, 0.75);
  for (int n = 0; n < 4; ++n)
    AddSearchers("s" + std::to_string(n), 1);
  Submit("/scatter/1");
  for (int n = 0; n < 3; ++n)
    transport_.Succeed("s" + std::to_string(n) + ".0", Record('a'));
  Advance(85);
  EXPECT_FALSE(answer_);
  Advance(10);
  ASSERT_TRUE(answer_);
  EXPECT_FALSE(answer_->error);
  EXPECT_EQ(answer_->missing_parts, 1);
}

// Guards against a success with a smaller share of shards than the route
// requires.
TEST_F(ScatterRunTest, WaitsForRequiredShareOfParts) {
  Configure(4, 0.75);
  for (int n = 0; n < 4; ++n)
    AddSearchers("s" + std::to_string(n), 1);
  Submit("/scatter/1");
  transport_.Succeed("s0.0", Record('a'));
  transport_.Succeed("s1.0", Record('a'));
  Advance(700);
  EXPECT_FALSE(answer_);
  transport_.Succeed("s2.0", Record('a'));
  ASSERT_TRUE(answer_);
  EXPECT_FALSE(answer_->error);
}

// Guards against an answer after the caller's deadline.
TEST_F(ScatterRunTest, FailsBeforeDeadline) {
  Configure(2, 1.0);
  AddSearchers("s0", 1);
  AddSearchers("s1", 1);
  Submit("/scatter/1");
  Advance(790);
  ASSERT_TRUE(answer_);
  EXPECT_EQ(answer_->error, ErrorKind::kDeadlineExceeded);
}

// Guards against requests that wait although they can't be served.
TEST_F(ScatterRunTest, RefusesAtOnceWhenTooFewShardsHaveSearchers) {
  Configure(4, 0.75);
  AddSearchers("s0", 1);
  AddSearchers("s1", 1);
  Submit("/scatter/1");
  ASSERT_TRUE(answer_);
  EXPECT_EQ(answer_->error, ErrorKind::kNoUpstream);
  EXPECT_TRUE(answer_->retry_after);
  EXPECT_TRUE(transport_.send_order().empty());
}

// Guards against a pause of one searcher delaying the whole answer.
TEST_F(ScatterRunTest, HedgesWhenShardIsSlow) {
  Configure(2, 1.0);
  AddSearchers("s0", 1);
  AddSearchers("s1", 3);
  Submit("/scatter/1");
  transport_.Succeed("s0.0", Record('a'));
  std::string slow = PendingAt("s1");
  Advance(40);
  ASSERT_EQ(transport_.pending().size(), 2U);
  std::string other = transport_.send_order().back();
  EXPECT_NE(other, slow);
  transport_.Succeed(other, Record('b'));
  ASSERT_TRUE(answer_);
  EXPECT_EQ(answer_->missing_parts, 0);
}

// Guards against more attempts at a shard than the route allows.
TEST_F(ScatterRunTest, StopsAtMaxAttemptsOfShard) {
  Configure(1, 1.0);
  AddSearchers("s0", 5);
  Submit("/scatter/1");
  for (int n = 0; n < 4; ++n) {
    std::string searcher = PendingAt("s0");
    if (!searcher.empty()) {
      transport_.Answer(searcher,
                        Transport::Failure(AttemptResult::kRejected, 503));
    }
  }
  EXPECT_EQ(transport_.send_order().size(), 2U);
  ASSERT_TRUE(answer_);
  EXPECT_TRUE(answer_->error);
}

// Guards against work that continues after the caller disconnected.
TEST_F(ScatterRunTest, CancelsAttemptsWithinHalfSecondWhenAbandoned) {
  Configure(2, 1.0);
  AddSearchers("s0", 1);
  AddSearchers("s1", 1);
  Dispatcher::RunPtr run = Submit("/scatter/1");
  run->Abandon();
  Advance(400);
  EXPECT_TRUE(transport_.pending().empty());
  EXPECT_EQ(transport_.cancelled(), 2);
  EXPECT_FALSE(answer_);
}

// Guards against merging the same reply twice.
TEST_F(ScatterRunTest, MergesRepliesWithSameProofOnce) {
  Configure(2, 0.5);
  AddSearchers("s0", 1);
  AddSearchers("s1", 1);
  Submit("/scatter/1");
  transport_.Answer("s0.0", Transport::Success("same", Record('a')));
  transport_.Answer("s1.0", Transport::Success("same", Record('a')));
  ASSERT_TRUE(answer_);
  EXPECT_EQ(answer_->part_proofs.size(), 1U);
  EXPECT_EQ(answer_->missing_parts, 1);
}

// Guards against a success with too few parts, one of them counted twice.
TEST_F(ScatterRunTest, CountsRepliesWithSameProofOnceForRequiredShare) {
  Configure(2, 1.0);
  AddSearchers("s0", 1);
  AddSearchers("s1", 1);
  Submit("/scatter/1");
  transport_.Answer("s0.0", Transport::Success("same", Record('a')));
  transport_.Answer("s1.0", Transport::Success("same", Record('a')));
  ASSERT_TRUE(answer_);
  EXPECT_EQ(answer_->error, ErrorKind::kShardsUnavailable);
}

// Guards against work for a request that can't be answered in time any more.
TEST_F(ScatterRunTest, RejectsRequestWithExpiredDeadline) {
  Configure(2, 1.0);
  AddSearchers("s0", 1);
  AddSearchers("s1", 1);
  Submit("/scatter/1", std::chrono::milliseconds(15));
  ASSERT_TRUE(answer_);
  EXPECT_EQ(answer_->error, ErrorKind::kDeadlineUnmeetable);
  EXPECT_TRUE(transport_.send_order().empty());
}

// Guards against queued attempts that reach their searcher after the request
// was answered. In mkaa's scale-1, such work made answers miss every part of a
// shard with one searcher left.
TEST_F(ScatterRunTest, OptionalPartsExpireAtTarget) {
  Configure(4, 0.75);
  for (int n = 0; n < 4; ++n)
    AddSearchers("s" + std::to_string(n), 1);
  TimePoint start = timers_.Now();
  Submit("/scatter/1");
  // 90 ms less the initial estimate of the reply time, an eighth of the target.
  TimePoint latest = start + std::chrono::microseconds(90'000 - 12'500);
  for (const auto& [id, sent] : transport_.pending()) {
    EXPECT_EQ(sent.attempt_options.write_deadline, latest);
    EXPECT_EQ(sent.attempt_options.target_write_time, latest);
  }
}

// Guards against counting an attempt that was never written to a connection.
TEST_F(ScatterRunTest, UnsentAttemptDoesNotCount) {
  Configure(1, 1.0);
  AddSearchers("s0", 3);
  Submit("/scatter/1");
  transport_.Answer(PendingAt("s0"),
                    Transport::Failure(AttemptResult::kNotSent));
  transport_.Answer(PendingAt("s0"),
                    Transport::Failure(AttemptResult::kRejected, 503));
  EXPECT_EQ(transport_.send_order().size(), 3U);
  EXPECT_FALSE(answer_);
}

}  // namespace
}  // namespace jujubecove
