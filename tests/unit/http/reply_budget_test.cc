#include "http/reply_budget.h"

#include <gtest/gtest.h>

namespace jujubecove {
namespace {

struct RecordingHolder : ReplyBudget::Holder {
  void OnEvicted() override { evicted = true; }
  bool evicted = false;
};

// A large reply must not make small ones fail.
TEST(ReplyBudgetTest, EvictsLargestReply) {
  ReplyBudget budget(100'000);
  RecordingHolder large;
  RecordingHolder medium;
  RecordingHolder small;
  budget.Update(large, 60'000);
  budget.Update(medium, 30'000);
  budget.Update(small, ReplyBudget::kUncountedBytes);
  EXPECT_EQ(budget.used(), 90'000U);
  budget.Update(medium, 41'000);
  EXPECT_TRUE(large.evicted);
  EXPECT_FALSE(medium.evicted);
  EXPECT_FALSE(small.evicted);
  EXPECT_EQ(budget.used(), 41'000U);
}

TEST(ReplyBudgetTest, EvictsReplyThatExceedsLimitAlone) {
  ReplyBudget budget(100'000);
  RecordingHolder holder;
  budget.Update(holder, 100'001);
  EXPECT_TRUE(holder.evicted);
  EXPECT_EQ(budget.used(), 0U);
}

TEST(ReplyBudgetTest, ReleaseReturnsBytes) {
  ReplyBudget budget(100'000);
  RecordingHolder holder;
  budget.Update(holder, 50'000);
  budget.Update(holder, 70'000);
  EXPECT_EQ(budget.used(), 70'000U);
  budget.Release(holder);
  budget.Release(holder);
  EXPECT_EQ(budget.used(), 0U);
}

}  // namespace
}  // namespace jujubecove
