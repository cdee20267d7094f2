#include "dispatch/searcher_health.h"

#include <gtest/gtest.h>

namespace jujubecove {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kUsual = milliseconds(10);

AttemptReply Reply(AttemptResult outcome) {
  AttemptReply reply;
  reply.outcome = outcome;
  return reply;
}

// Guards against requests that follow others to a searcher that pauses.
TEST(SearcherHealthTest, AnOverdueReplyMakesASearcherUnattractive) {
  TimePoint now(seconds(10));
  SearcherHealth health(2, TimePoint{});
  health.OnSent(AttemptId(1), now);
  Duration before = health.ExpectedLatency(kUsual, now + milliseconds(20));
  Duration after = health.ExpectedLatency(kUsual, now + milliseconds(60));
  EXPECT_GT(after, before + milliseconds(50));
  health.OnReply(AttemptId(1), Reply(AttemptResult::kSuccess), kUsual,
                 now + milliseconds(120));
  EXPECT_LT(health.ExpectedLatency(kUsual, now + milliseconds(120)),
            milliseconds(25));
}

// Guards against work for a searcher that answers nothing.
TEST(SearcherHealthTest, BrokenAndUnansweredAttemptsMakeItSuspect) {
  TimePoint now(seconds(10));
  SearcherHealth health(2, TimePoint{});
  health.OnSent(AttemptId(1), now);
  health.OnCancelled(AttemptId(1), true, now);
  EXPECT_TRUE(health.IsSuspect(now + milliseconds(200)));
  EXPECT_FALSE(health.IsSuspect(now + milliseconds(300)));
  health.OnSent(AttemptId(2), now + milliseconds(300));
  health.OnReply(AttemptId(2), Reply(AttemptResult::kBroken), kUsual,
                 now + milliseconds(300));
  EXPECT_TRUE(health.IsSuspect(now + milliseconds(700)));
}

// Guards against blaming a searcher for attempts that were cancelled early.
TEST(SearcherHealthTest, AnEarlyCancelIsNoSign) {
  TimePoint now(seconds(10));
  SearcherHealth health(2, TimePoint{});
  health.OnSent(AttemptId(1), now);
  health.OnCancelled(AttemptId(1), false, now);
  EXPECT_FALSE(health.IsSuspect(now));
  EXPECT_EQ(health.in_flight(), 0);
}

// Guards against a searcher that refuses fast and so attracts all requests.
TEST(SearcherHealthTest, RefusalsMakeASearcherUnattractive) {
  TimePoint now(seconds(10));
  SearcherHealth health(2, TimePoint{});
  for (int n = 0; n < 10; ++n) {
    health.OnSent(AttemptId(static_cast<std::uint64_t>(n)), now);
    health.OnReply(AttemptId(static_cast<std::uint64_t>(n)),
                   Reply(AttemptResult::kRejected), kUsual, now);
  }
  EXPECT_GT(health.ExpectedLatency(kUsual, now), 4 * kUsual);
}

TEST(SearcherHealthTest, ReportedLoadCountsWhileItIsFresh) {
  TimePoint now(seconds(10));
  SearcherHealth health(2, TimePoint{});
  AttemptReply reply = Reply(AttemptResult::kSuccess);
  reply.load = ReportedLoad{2, 6, 2};
  health.OnSent(AttemptId(1), now);
  health.OnReply(AttemptId(1), reply, kUsual, now);
  EXPECT_GT(health.ExpectedLatency(kUsual, now), 4 * kUsual);
  EXPECT_LT(health.ExpectedLatency(kUsual, now + seconds(2)), 2 * kUsual);
}

// Guards against attempts that a searcher with a queue of its own answers too
// late, because the route's average over all searchers promised a faster reply:
// in mkaa's scale-1 a third of the work of a shard's last searcher was late.
TEST(SearcherHealthTest, LearnsTheReplyTimeWithoutTheWaitForAConnection) {
  TimePoint now(seconds(10));
  SearcherHealth health(2, TimePoint{});
  EXPECT_EQ(health.LikelyReplyTime(kUsual), kUsual);
  for (std::uint64_t n = 0; n < 100; ++n) {
    health.OnSent(AttemptId(n), now);
    now += milliseconds(90);
    AttemptReply reply = Reply(AttemptResult::kSuccess);
    reply.queue_time = milliseconds(50);
    health.OnReply(AttemptId(n), reply, kUsual, now);
  }
  EXPECT_GE(health.LikelyReplyTime(kUsual), milliseconds(38));
  EXPECT_LE(health.LikelyReplyTime(kUsual), milliseconds(45));
}

// Guards against a margin that ignores how much the reply times vary.
TEST(SearcherHealthTest, VaryingRepliesWidenTheLikelyReplyTime) {
  TimePoint now(seconds(10));
  SearcherHealth health(2, TimePoint{});
  for (std::uint64_t n = 0; n < 100; ++n) {
    health.OnSent(AttemptId(n), now);
    now += milliseconds(n % 2 == 0 ? 5 : 15);
    health.OnReply(AttemptId(n), Reply(AttemptResult::kSuccess), kUsual, now);
  }
  EXPECT_GE(health.LikelyReplyTime(kUsual), milliseconds(15));
}

TEST(SearcherHealthTest, AColdSearcherIsExpectedToBeSlower) {
  TimePoint now(seconds(10));
  SearcherHealth cold(2, now + seconds(3));
  SearcherHealth warm(2, now);
  EXPECT_GT(cold.ExpectedLatency(kUsual, now),
            warm.ExpectedLatency(kUsual, now));
}

}  // namespace
}  // namespace jujubecove
