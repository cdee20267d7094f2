#include "dispatch/searcher_health.h"

#include <gtest/gtest.h>

namespace jujubecove {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kTypical = milliseconds(10);

AttemptReply Reply(AttemptResult outcome) {
  AttemptReply reply;
  reply.outcome = outcome;
  return reply;
}

// Guards against sending more requests to a paused searcher.
TEST(SearcherHealthTest, OverdueReplyRaisesExpectedLatency) {
  TimePoint now(seconds(10));
  SearcherHealth health(2, TimePoint{});
  health.OnSent(AttemptId(1), now);
  Duration before = health.ExpectedLatency(kTypical, now + milliseconds(20));
  Duration after = health.ExpectedLatency(kTypical, now + milliseconds(60));
  EXPECT_GT(after, before + milliseconds(50));
  health.OnReply(AttemptId(1), Reply(AttemptResult::kSuccess), kTypical,
                 now + milliseconds(120));
  EXPECT_LT(health.ExpectedLatency(kTypical, now + milliseconds(120)),
            milliseconds(25));
}

// Guards against sending work to a searcher that does not answer.
TEST(SearcherHealthTest, IsSuspectAfterOverdueAndBrokenAttempts) {
  TimePoint now(seconds(10));
  SearcherHealth health(2, TimePoint{});
  health.OnSent(AttemptId(1), now);
  health.OnCancelled(AttemptId(1), true, now);
  EXPECT_TRUE(health.IsSuspect(now + milliseconds(200)));
  EXPECT_FALSE(health.IsSuspect(now + milliseconds(300)));
  health.OnSent(AttemptId(2), now + milliseconds(300));
  health.OnReply(AttemptId(2), Reply(AttemptResult::kBroken), kTypical,
                 now + milliseconds(300));
  EXPECT_TRUE(health.IsSuspect(now + milliseconds(700)));
}

// Guards against avoiding a searcher of which one connection went silent while
// the others work.
TEST(SearcherHealthTest, RemembersRepliesToLaterAttempts) {
  TimePoint now(seconds(10));
  SearcherHealth health(2, TimePoint{});
  health.OnSent(AttemptId(1), now);
  health.OnSent(AttemptId(2), now + milliseconds(10));
  EXPECT_FALSE(health.HasRepliedSince(now));
  AttemptReply reply = Reply(AttemptResult::kSuccess);
  reply.status = 200;
  health.OnReply(AttemptId(2), reply, kTypical, now + milliseconds(20));
  EXPECT_TRUE(health.HasRepliedSince(now));
  EXPECT_FALSE(health.HasRepliedSince(now + milliseconds(10)));
}

// Guards against counting attempts that were cancelled early as failures.
TEST(SearcherHealthTest, IsNotSuspectAfterEarlyCancel) {
  TimePoint now(seconds(10));
  SearcherHealth health(2, TimePoint{});
  health.OnSent(AttemptId(1), now);
  health.OnCancelled(AttemptId(1), false, now);
  EXPECT_FALSE(health.IsSuspect(now));
  EXPECT_EQ(health.in_flight(), 0);
}

// Guards against a searcher that attracts all requests by refusing them fast.
TEST(SearcherHealthTest, RefusalsRaiseExpectedLatency) {
  TimePoint now(seconds(10));
  SearcherHealth health(2, TimePoint{});
  for (int n = 0; n < 10; ++n) {
    health.OnSent(AttemptId(static_cast<std::uint64_t>(n)), now);
    health.OnReply(AttemptId(static_cast<std::uint64_t>(n)),
                   Reply(AttemptResult::kRejected), kTypical, now);
  }
  EXPECT_GT(health.ExpectedLatency(kTypical, now), 4 * kTypical);
}

TEST(SearcherHealthTest, ReportedLoadCountsOnlyWhileRecent) {
  TimePoint now(seconds(10));
  SearcherHealth health(2, TimePoint{});
  AttemptReply reply = Reply(AttemptResult::kSuccess);
  reply.load = ReportedLoad{2, 6, 2};
  health.OnSent(AttemptId(1), now);
  health.OnReply(AttemptId(1), reply, kTypical, now);
  EXPECT_GT(health.ExpectedLatency(kTypical, now), 4 * kTypical);
  EXPECT_LT(health.ExpectedLatency(kTypical, now + seconds(2)), 2 * kTypical);
}

// Guards against late replies of a searcher that has its own queue, because the
// route's average over all searchers is lower: in mkaa's scale-1, a third of
// the work of a shard's last searcher was late.
TEST(SearcherHealthTest, ReplyTimeEstimateExcludesWaitForConnection) {
  TimePoint now(seconds(10));
  SearcherHealth health(2, TimePoint{});
  EXPECT_EQ(health.EstimateReplyTime(kTypical), kTypical);
  for (std::uint64_t n = 0; n < 100; ++n) {
    health.OnSent(AttemptId(n), now);
    now += milliseconds(90);
    AttemptReply reply = Reply(AttemptResult::kSuccess);
    reply.queue_time = milliseconds(50);
    health.OnReply(AttemptId(n), reply, kTypical, now);
  }
  EXPECT_GE(health.EstimateReplyTime(kTypical), milliseconds(38));
  EXPECT_LE(health.EstimateReplyTime(kTypical), milliseconds(45));
}

// Guards against an estimate that ignores the variance of the reply times.
TEST(SearcherHealthTest, VaryingReplyTimesRaiseReplyTimeEstimate) {
  TimePoint now(seconds(10));
  SearcherHealth health(2, TimePoint{});
  for (std::uint64_t n = 0; n < 100; ++n) {
    health.OnSent(AttemptId(n), now);
    now += milliseconds(n % 2 == 0 ? 5 : 15);
    health.OnReply(AttemptId(n), Reply(AttemptResult::kSuccess), kTypical, now);
  }
  EXPECT_GE(health.EstimateReplyTime(kTypical), milliseconds(15));
}

TEST(SearcherHealthTest, WarmupRaisesExpectedLatency) {
  TimePoint now(seconds(10));
  SearcherHealth cold(2, now + seconds(3));
  SearcherHealth warm(2, now);
  EXPECT_GT(cold.ExpectedLatency(kTypical, now),
            warm.ExpectedLatency(kTypical, now));
}

}  // namespace
}  // namespace jujubecove
