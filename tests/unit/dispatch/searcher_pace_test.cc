#include "dispatch/searcher_pace.h"

#include <gtest/gtest.h>

namespace jujubecove {
namespace {

TEST(SearcherPaceTest, DoesNotLimitUntilItBegins) {
  SearcherPace pace;
  EXPECT_TRUE(pace.Allows(1000));
  EXPECT_EQ(pace.latency_factor(), 1.0);
  pace.OnReply(false, 1.0);
  EXPECT_EQ(pace.latency_factor(), 1.0);
}

// Guards against a searcher that is left idle although it answers as fast as
// its neighbours.
TEST(SearcherPaceTest, EndsAfterFewGoodReplies) {
  SearcherPace pace;
  pace.Begin();
  EXPECT_TRUE(pace.Allows(0));
  EXPECT_FALSE(pace.Allows(1));
  pace.OnReply(true, 1.0);
  EXPECT_TRUE(pace.Allows(1));
  EXPECT_FALSE(pace.Allows(2));
  pace.OnReply(true, 0.9);
  pace.OnReply(true, 1.1);
  EXPECT_FALSE(pace.is_paced());
  EXPECT_TRUE(pace.Allows(1000));
}

// Guards against flooding a searcher that is still cold, whatever its
// registration says: it takes 1.6 times as long for its first replies.
TEST(SearcherPaceTest, StaysLowWhileRepliesAreSlow) {
  SearcherPace pace;
  pace.Begin();
  for (int n = 0; n < 5; ++n)
    pace.OnReply(true, 1.6);
  EXPECT_FALSE(pace.Allows(1));
  EXPECT_GT(pace.latency_factor(), 1.6);
  pace.OnReply(true, 1.0);
  pace.OnReply(false, 0.0);
  EXPECT_FALSE(pace.Allows(1));
  for (int n = 0; n < 3; ++n)
    pace.OnReply(true, 1.0);
  EXPECT_FALSE(pace.is_paced());
}

// Guards against a factor that grows without end while a searcher fails.
TEST(SearcherPaceTest, LimitsItsPessimism) {
  SearcherPace pace;
  pace.Begin();
  for (int n = 0; n < 100; ++n)
    pace.OnReply(false, 0.0);
  EXPECT_LE(pace.latency_factor(), 4.0);
  EXPECT_TRUE(pace.Allows(0));
}

}  // namespace
}  // namespace jujubecove
