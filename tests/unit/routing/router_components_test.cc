#include <gtest/gtest.h>

#include <vector>

#include "routing/concurrency_limit.h"
#include "routing/latency_window.h"
#include "routing/outlier_ejection.h"
#include "routing/retry_budget.h"
#include "routing/searcher_stats.h"

namespace jujubecove {
namespace {

class LatencyWindowTest : public testing::Test {
 protected:
  void Add(int count, Duration latency, Duration gap = Duration(1'000)) {
    for (int n = 0; n < count; ++n) {
      now_ += gap;
      window_.Add(latency, now_);
    }
  }

  TimePoint now_{};
  LatencyWindow window_;
};

// Guards against wrong ranks in the quantiles.
TEST_F(LatencyWindowTest, ReturnsQuantilesOfLatestReplies) {
  Add(500, Duration(90'000));
  // 504 + 64 replies are a multiple of the refresh interval of 8.
  Add(4, Duration(90'000));
  for (int n = 1; n <= 64; ++n)
    Add(1, Duration(n * 1'000));
  EXPECT_EQ(window_.RecentMedian(), Duration(33'000));
  EXPECT_EQ(window_.RecentP95(), Duration(61'000));
}

// Guards against using quantiles of too few replies.
TEST_F(LatencyWindowTest, RequiresAtLeast32Samples) {
  Add(31, Duration(6'000));
  EXPECT_FALSE(window_.HasEnoughSamples());
  Add(1, Duration(6'000));
  EXPECT_TRUE(window_.HasEnoughSamples());
}

// Guards against hedging while the whole service is slow.
TEST_F(LatencyWindowTest, DetectsSlowdownAndRecoveryWithin40Replies) {
  Add(1'000, Duration(6'000));
  Add(40, Duration(30'000));
  EXPECT_TRUE(window_.IsSlow());
  Add(40, Duration(6'000));
  EXPECT_FALSE(window_.IsSlow());
}

// Guards against a slowdown becoming the baseline within seconds, or never.
TEST_F(LatencyWindowTest, LastingSlowdownBecomesBaselineAfterMinutes) {
  Add(1'000, Duration(6'000));
  Add(12'000, Duration(30'000), Duration(10'000));
  EXPECT_TRUE(window_.IsSlow()) << "after 2 minutes";
  Add(60'000, Duration(30'000), Duration(10'000));
  EXPECT_FALSE(window_.IsSlow()) << "after 12 minutes";
}

// Guards against counting a pause without traffic as time at the new latency.
TEST_F(LatencyWindowTest, PauseWithoutRepliesKeepsBaseline) {
  Add(1'000, Duration(6'000));
  now_ += Duration(3'600'000'000);
  Add(64, Duration(30'000));
  EXPECT_TRUE(window_.IsSlow());
}

// Guards against flooding a new searcher, and against a limit that does not
// grow again after a decrease.
TEST(ConcurrencyLimitTest, SlowStartsAndGrowsAdditivelyAfterDecrease) {
  ConcurrencyLimit limit;
  limit.Configure(8, 2);
  EXPECT_EQ(limit.limit(), 1U);
  for (int n = 0; n < 7; ++n)
    limit.OnSuccess(limit.limit());
  EXPECT_EQ(limit.limit(), 8U);
  limit.OnBusy(TimePoint(Duration(10)), TimePoint(Duration(20)));
  EXPECT_EQ(limit.limit(), 5U);
  limit.OnBusy(TimePoint(Duration(15)), TimePoint(Duration(25)));
  EXPECT_EQ(limit.limit(), 5U) << "sent before the decrease";
  for (int n = 0; n < 6; ++n)
    limit.OnSuccess(limit.limit());
  EXPECT_EQ(limit.limit(), 6U);
}

// Guards against growth while the limit is not reached, and against growth
// beyond the maximum.
TEST(ConcurrencyLimitTest, GrowsOnlyWhenReachedAndUpToMaximum) {
  ConcurrencyLimit limit;
  limit.Configure(2, 1);
  for (int n = 0; n < 100; ++n)
    limit.OnSuccess(0);
  EXPECT_EQ(limit.limit(), 1U);
  for (int n = 0; n < 1'000; ++n)
    limit.OnSuccess(limit.limit());
  EXPECT_EQ(limit.limit(), 4U);
  limit.OnCold(TimePoint(Duration(1)));
  EXPECT_EQ(limit.limit(), 1U);
  EXPECT_TRUE(limit.IsBackingOff(TimePoint(Duration(2))));
}

// Guards against retries and hedges above 5% of the first attempts, and against
// saving up tokens for a large burst.
TEST(RetryBudgetTest, AllowsOneRetryPerTwentyFirstAttempts) {
  RetryBudget budget;
  EXPECT_TRUE(budget.TryTakeToken(false));
  EXPECT_FALSE(budget.TryTakeToken(false));
  for (int n = 0; n < 21; ++n)
    budget.OnFirstAttempt(false);
  EXPECT_TRUE(budget.TryTakeToken(false));
  EXPECT_FALSE(budget.TryTakeToken(false));
  for (int n = 0; n < 10'000; ++n)
    budget.OnFirstAttempt(false);
  EXPECT_EQ(budget.tokens(), RetryBudget::kMaxTokens);
}

// Guards against retries and hedges that add load to a slow service.
TEST(RetryBudgetTest, SlowServiceEmptiesBudget) {
  RetryBudget budget;
  for (int n = 0; n < 1'000; ++n)
    budget.OnFirstAttempt(false);
  EXPECT_FALSE(budget.TryTakeToken(true));
  budget.OnFirstAttempt(true);
  EXPECT_FALSE(budget.TryTakeToken(false));
}

// Guards against ejections of constant length, which would keep probing a
// permanent straggler at the initial rate.
TEST(OutlierEjectionTest, ConsecutiveEjectionsGetLonger) {
  OutlierEjection ejection;
  TimePoint now{};
  Duration last{};
  for (int n = 0; n < 6; ++n) {
    ejection.Eject(now);
    Duration period = ejection.probe_at() - now;
    EXPECT_GT(period, last);
    last = period;
    now = ejection.probe_at();
    EXPECT_TRUE(ejection.IsProbeDue(now));
    ejection.BeginProbe(now);
    EXPECT_FALSE(ejection.IsProbeDue(now)) << "one probe at a time";
  }
}

// Guards against reported load that outweighs own observations.
TEST(SearcherStatsTest, ContradictedReportLosesWeight) {
  SearcherStats stats;
  TimePoint now{};
  stats.ObserveReportedLoad(100, now);
  double before = stats.DiscountedLoad(2, now);
  EXPECT_GT(before, 0);
  EXPECT_LE(before, 1) << "at most half of the slots";
  for (int n = 0; n < 20; ++n) {
    stats.ObserveSuccess(Duration(6'000), now);
    stats.UpdateReportTrust(6'000, 2, now);
  }
  EXPECT_LT(stats.DiscountedLoad(2, now), before / 20);
  EXPECT_EQ(stats.DiscountedLoad(2, now + Duration(2'000'000)), 0);
}

}  // namespace
}  // namespace jujubecove
