#include "dispatch/attempt_queue.h"

#include <gtest/gtest.h>

#include <array>
#include <vector>

namespace jujubecove {
namespace {

using std::chrono::milliseconds;

class AttemptQueueTest : public testing::Test {
 protected:
  // Times are in milliseconds.
  void Push(std::uint64_t id,
            int target_write_time,
            int write_deadline,
            int urgency = 0) {
    QueuedAttempt attempt;
    attempt.attempt_options.urgency = urgency;
    attempt.id = AttemptId(id);
    attempt.attempt_options.target_write_time = At(target_write_time);
    attempt.attempt_options.write_deadline = At(write_deadline);
    attempts_.Push(std::move(attempt));
  }
  static TimePoint At(int ms) { return TimePoint(milliseconds(ms)); }
  std::uint64_t Pop(int now) { return attempts_.Pop(At(now)).id.value(); }

  AttemptQueue attempts_;
};

TEST_F(AttemptQueueTest, PopsEarliestDeadlineFirstThenByArrival) {
  Push(1, 90, 90);
  Push(2, 40, 40);
  Push(3, 90, 90);
  EXPECT_EQ(Pop(0), 2U);
  EXPECT_EQ(Pop(0), 1U);
  EXPECT_EQ(Pop(0), 3U);
}

// Guards against a required part that queues behind optional parts.
TEST_F(AttemptQueueTest, OrdersByTargetRatherThanWriteDeadline) {
  Push(1, 90, 90);
  Push(2, 80, 1400);
  EXPECT_EQ(Pop(0), 2U);
}

// Guards against late attempts that delay those that can be in time.
TEST_F(AttemptQueueTest, PopsAttemptsPastTargetLast) {
  Push(1, 40, 1400);
  Push(2, 90, 90);
  EXPECT_EQ(Pop(50), 2U);
  EXPECT_EQ(Pop(50), 1U);
}

TEST_F(AttemptQueueTest, PopsMostUrgentOfThoseInTimeFirst) {
  Push(1, 90, 90, 2);
  Push(2, 95, 95, 1);
  Push(3, 10, 1400, 0);
  EXPECT_EQ(Pop(50), 2U);
  EXPECT_EQ(Pop(50), 1U);
  EXPECT_EQ(Pop(50), 3U);
}

// Load: requests of three urgencies for twice what the searcher serves, for a
// minute. The urgent ones must be served nearly always, and even the least
// urgent ones must not fall below a quarter of the mean share.
TEST_F(AttemptQueueTest, ServesUrgentAttemptsWithoutStarvingOthers) {
  constexpr int kUrgencies = 3;
  constexpr int kDurationMs = 60'000;
  constexpr int kTargetMs = 100;
  constexpr int kArrivalMs = 15;
  constexpr int kServiceMs = 10;
  std::array<int, kUrgencies> offered{};
  std::array<int, kUrgencies> served{};
  for (int now = 0; now < kDurationMs; ++now) {
    for (int urgency = 0; urgency < kUrgencies; ++urgency) {
      if (now % kArrivalMs != 4 * urgency)
        continue;
      Push(static_cast<std::uint64_t>(urgency), now + kTargetMs,
           now + kTargetMs, urgency);
      ++offered[urgency];
    }
    attempts_.TakeExpired(At(now));
    if (now % kServiceMs == 0 && !attempts_.empty())
      ++served[Pop(now)];
  }
  double mean = 0.0;
  for (int n = 0; n < kUrgencies; ++n)
    mean += static_cast<double>(served[n]) / offered[n] / kUrgencies;
  EXPECT_GT(static_cast<double>(served[0]) / offered[0], 0.95);
  EXPECT_GT(static_cast<double>(served[1]) / offered[1],
            static_cast<double>(served[2]) / offered[2]);
  EXPECT_GT(static_cast<double>(served[2]) / offered[2], mean / 4);
}

TEST_F(AttemptQueueTest, TakesExpiredAttempts) {
  Push(1, 40, 1400);
  Push(2, 60, 60);
  Push(3, 90, 90);
  EXPECT_EQ(attempts_.NextExpiry(), At(60));
  EXPECT_TRUE(attempts_.TakeExpired(At(59)).empty());
  std::vector<QueuedAttempt> expired = attempts_.TakeExpired(At(60));
  ASSERT_EQ(expired.size(), 1U);
  EXPECT_EQ(expired[0].id, AttemptId(2));
  EXPECT_EQ(attempts_.NextExpiry(), At(90));
  EXPECT_EQ(attempts_.TakeAll().size(), 2U);
  EXPECT_EQ(attempts_.NextExpiry(), std::nullopt);
}

TEST_F(AttemptQueueTest, RemovesAttemptOnce) {
  Push(1, 40, 40);
  EXPECT_TRUE(attempts_.Remove(AttemptId(1)));
  EXPECT_FALSE(attempts_.Remove(AttemptId(1)));
  EXPECT_TRUE(attempts_.empty());
}

}  // namespace
}  // namespace jujubecove
