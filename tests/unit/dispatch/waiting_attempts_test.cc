#include "dispatch/waiting_attempts.h"

#include <gtest/gtest.h>

namespace jujubecove {
namespace {

using std::chrono::milliseconds;

class WaitingAttemptsTest : public testing::Test {
 protected:
  // Times are milliseconds after the start of the clock.
  void Push(std::uint64_t id, int write_for_target, int latest_write) {
    WaitingAttempt attempt;
    attempt.id = AttemptId(id);
    attempt.terms.write_for_target = At(write_for_target);
    attempt.terms.latest_write = At(latest_write);
    attempts_.Push(std::move(attempt));
  }
  static TimePoint At(int ms) { return TimePoint(milliseconds(ms)); }
  std::uint64_t Pop(int now) { return attempts_.Pop(At(now)).id.value(); }

  WaitingAttempts attempts_;
};

TEST_F(WaitingAttemptsTest, TheMostPressingGoesFirstAndEqualOnesInOrder) {
  Push(1, 90, 90);
  Push(2, 40, 40);
  Push(3, 90, 90);
  EXPECT_EQ(Pop(0), 2U);
  EXPECT_EQ(Pop(0), 1U);
  EXPECT_EQ(Pop(0), 3U);
}

// Guards against a part without which a request fails queueing behind parts
// that its answer can do without.
TEST_F(WaitingAttemptsTest, ALaterBoundDoesNotPutAnAttemptBehindOthers) {
  Push(1, 90, 90);
  Push(2, 80, 1400);
  EXPECT_EQ(Pop(0), 2U);
}

// Guards against late work that takes the slots of work that can be in time.
TEST_F(WaitingAttemptsTest, WhatIsLateAnywayWaitsForTheOthers) {
  Push(1, 40, 1400);
  Push(2, 90, 90);
  EXPECT_EQ(Pop(50), 2U);
  EXPECT_EQ(Pop(50), 1U);
}

TEST_F(WaitingAttemptsTest, GivesBackWhatIsOfNoUse) {
  Push(1, 40, 1400);
  Push(2, 60, 60);
  Push(3, 90, 90);
  EXPECT_EQ(attempts_.NextUseless(), At(60));
  EXPECT_TRUE(attempts_.TakeUseless(At(59)).empty());
  std::vector<WaitingAttempt> useless = attempts_.TakeUseless(At(60));
  ASSERT_EQ(useless.size(), 1U);
  EXPECT_EQ(useless[0].id, AttemptId(2));
  EXPECT_EQ(attempts_.NextUseless(), At(90));
  EXPECT_EQ(attempts_.TakeAll().size(), 2U);
  EXPECT_EQ(attempts_.NextUseless(), std::nullopt);
}

TEST_F(WaitingAttemptsTest, ACancelledAttemptIsRemoved) {
  Push(1, 40, 40);
  EXPECT_TRUE(attempts_.Remove(AttemptId(1)));
  EXPECT_FALSE(attempts_.Remove(AttemptId(1)));
  EXPECT_TRUE(attempts_.empty());
}

}  // namespace
}  // namespace jujubecove
