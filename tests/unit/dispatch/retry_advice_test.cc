#include "dispatch/retry_advice.h"

#include <gtest/gtest.h>

namespace jujubecove {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class RetryAdviceTest : public testing::Test {
 protected:
  // Returns the shortest and the longest of many pieces of advice.
  std::pair<Duration, Duration> Range(std::optional<Duration> wait,
                                      Duration left) {
    Duration shortest = Duration::max();
    Duration longest = Duration::min();
    for (int n = 0; n < 1000; ++n) {
      Duration advice = advice_.Get(wait, left);
      shortest = std::min(shortest, advice);
      longest = std::max(longest, advice);
    }
    return {shortest, longest};
  }

  RandomEngine random_{1};
  RetryAdvice advice_{random_};
};

// A caller that returns before a searcher is available is refused again.
TEST_F(RetryAdviceTest, KnownWaitIsNotShortened) {
  auto [shortest, longest] = Range(milliseconds(400), seconds(6));
  EXPECT_GE(shortest, milliseconds(400));
  EXPECT_LE(longest, milliseconds(600));
}

// Callers that were refused together must not return together.
TEST_F(RetryAdviceTest, ReturnsAreSpread) {
  auto [shortest, longest] = Range(Duration(0), seconds(6));
  EXPECT_GT(longest - shortest, milliseconds(30));
}

// The next try needs most of the remaining time.
TEST_F(RetryAdviceTest, LeavesTwoThirdsOfRemainingTime) {
  for (std::optional<Duration> wait :
       {std::optional<Duration>(), std::optional<Duration>(seconds(4))}) {
    auto [shortest, longest] = Range(wait, milliseconds(900));
    EXPECT_LE(longest, milliseconds(300));
    EXPECT_GE(shortest, milliseconds(150));
  }
  EXPECT_EQ(advice_.Get(seconds(1), milliseconds(-5)), Duration(0));
}

}  // namespace
}  // namespace jujubecove
