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
TEST_F(LatencyWindowTest, GivesQuantilesOfTheLatestReplies) {
  Add(500, Duration(90'000));
  // A multiple of the refresh interval of 8 replies follows from 504 + 64.
  Add(4, Duration(90'000));
  for (int n = 1; n <= 64; ++n)
    Add(1, Duration(n * 1'000));
  EXPECT_EQ(window_.RecentMedian(), Duration(33'000));
  EXPECT_EQ(window_.Recent95th(), Duration(61'000));
}

// Guards against conclusions from a handful of replies.
TEST_F(LatencyWindowTest, NeedsEnoughReplies) {
  Add(31, Duration(6'000));
  EXPECT_FALSE(window_.HasEnough());
  Add(1, Duration(6'000));
  EXPECT_TRUE(window_.HasEnough());
}

// Guards against hedging on into a slowdown of the whole service.
TEST_F(LatencyWindowTest, SeesASlowdownWithinTensOfReplies) {
  Add(1'000, Duration(6'000));
  Add(40, Duration(30'000));
  EXPECT_TRUE(window_.IsSlow());
  Add(40, Duration(6'000));
  EXPECT_FALSE(window_.IsSlow());
}

// Guards against a slowdown that becomes the baseline within seconds, and
// against one that never does.
TEST_F(LatencyWindowTest, PermanentSlowdownBecomesNormalOverMinutes) {
  Add(1'000, Duration(6'000));
  Add(12'000, Duration(30'000), Duration(10'000));
  EXPECT_TRUE(window_.IsSlow()) << "after 2 minutes";
  Add(60'000, Duration(30'000), Duration(10'000));
  EXPECT_FALSE(window_.IsSlow()) << "after 12 minutes";
}

// Guards against a pause without traffic counting as time at the new latency.
TEST_F(LatencyWindowTest, PauseDoesNotMoveTheBaseline) {
  Add(1'000, Duration(6'000));
  now_ += Duration(3'600'000'000);
  Add(64, Duration(30'000));
  EXPECT_TRUE(window_.IsSlow());
}

// Guards against a searcher being flooded when it is new, and against a limit
// that stays at the first decrease.
TEST(ConcurrencyLimitTest, StartsSlowlyAndRecoversAdditively) {
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

// Guards against growth that no request has tested, and beyond the slots.
TEST(ConcurrencyLimitTest, GrowsOnlyWhenUsedAndUpToTheCeiling) {
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
// a store of tokens that allows a burst later.
TEST(RepeatBudgetTest, EarnsOneRepeatForTwentyAttempts) {
  RetryBudget budget;
  EXPECT_TRUE(budget.TryTake(false));
  EXPECT_FALSE(budget.TryTake(false));
  for (int n = 0; n < 21; ++n)
    budget.OnFirstAttempt(false);
  EXPECT_TRUE(budget.TryTake(false));
  EXPECT_FALSE(budget.TryTake(false));
  for (int n = 0; n < 10'000; ++n)
    budget.OnFirstAttempt(false);
  EXPECT_EQ(budget.tokens(), RetryBudget::kCapacity);
}

// Guards against repeats that add to the load of a slow service.
TEST(RepeatBudgetTest, SlowServiceHasNoBudget) {
  RetryBudget budget;
  for (int n = 0; n < 1'000; ++n)
    budget.OnFirstAttempt(false);
  EXPECT_FALSE(budget.TryTake(true));
  budget.OnFirstAttempt(true);
  EXPECT_FALSE(budget.TryTake(false));
}

// Guards against ejections of equal length, with which a permanent straggler
// would be probed for ever at the first rate.
TEST(OutlierEjectionTest, PeriodsGrow) {
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

// Guards against reports that outweigh own observations.
TEST(SearcherStatsTest, ContradictedReportIsDiscounted) {
  SearcherStats stats;
  TimePoint now{};
  stats.ObserveReportedLoad(100, now);
  double before = stats.DiscountedLoad(2, now);
  EXPECT_GT(before, 0);
  EXPECT_LE(before, 1) << "at most half of the slots";
  for (int n = 0; n < 20; ++n) {
    stats.ObserveSuccess(Duration(6'000), now);
    stats.CheckReport(6'000, 2, now);
  }
  EXPECT_LT(stats.DiscountedLoad(2, now), before / 20);
  EXPECT_EQ(stats.DiscountedLoad(2, now + Duration(2'000'000)), 0);
}

}  // namespace
}  // namespace jujubecove
