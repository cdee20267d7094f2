#include "ingress/caller_memory.h"

#include <gtest/gtest.h>

#include "kernel/fake_timer_service.h"

namespace jujubecove {
namespace {

using Use = CallerMemory::Use;

struct RecordingHolder : CallerMemory::Holder {
  void OnReclaimed() override { reclaimed = true; }
  bool reclaimed = false;
};

class CallerMemoryTest : public testing::Test {
 protected:
  void Update(RecordingHolder& holder, std::size_t bytes, Use use) {
    memory_.Update(holder, bytes, use, timers_.Now());
  }

  FakeTimerService timers_;
  CallerMemory memory_{timers_, 100'000, 10'000};
  RecordingHolder first_;
  RecordingHolder second_;
  RecordingHolder third_;
};

// Guards against refusing ordinary callers for the memory that others take.
TEST_F(CallerMemoryTest, ReclaimsLargestRequestAndSparesSmallOnes) {
  Update(first_, 60'000, Use::kRequest);
  Update(second_, 39'000, Use::kRequest);
  Update(third_, 10'000, Use::kRequest);
  EXPECT_TRUE(first_.reclaimed);
  EXPECT_FALSE(second_.reclaimed);
  EXPECT_FALSE(third_.reclaimed);
  EXPECT_EQ(memory_.used(), 49'000U);
  EXPECT_EQ(memory_.refused(), 1U);
}

// Guards against ending a request that may have run.
TEST_F(CallerMemoryTest, SparesRequestsInProgress) {
  Update(first_, 99'000, Use::kRunning);
  Update(second_, 9'000, Use::kRequest);
  EXPECT_FALSE(first_.reclaimed);
  EXPECT_FALSE(second_.reclaimed);
  Update(third_, 11'000, Use::kRequest);
  EXPECT_TRUE(third_.reclaimed);
}

// Guards against callers that never read their answers and make requests of
// others be refused.
TEST_F(CallerMemoryTest, DropsUnreadAnswersBeforeRequests) {
  Update(first_, 50'000, Use::kAnswer);
  timers_.AdvanceBy(std::chrono::seconds(3));
  Update(second_, 45'000, Use::kAnswer);
  Update(third_, 20'000, Use::kRequest);
  EXPECT_TRUE(first_.reclaimed);
  EXPECT_FALSE(second_.reclaimed);
  EXPECT_FALSE(third_.reclaimed);
  EXPECT_EQ(memory_.dropped(), 1U);
}

// Guards against dropping answers that are being read while requests that have
// not run can be refused.
TEST_F(CallerMemoryTest, RefusesRequestsBeforeDroppingNewAnswers) {
  Update(first_, 50'000, Use::kAnswer);
  Update(second_, 20'000, Use::kRequest);
  timers_.AdvanceBy(std::chrono::milliseconds(100));
  Update(third_, 45'000, Use::kAnswer);
  EXPECT_FALSE(first_.reclaimed);
  EXPECT_TRUE(second_.reclaimed);
  Update(second_, 9'000, Use::kRequest);
  EXPECT_TRUE(first_.reclaimed);
}

TEST_F(CallerMemoryTest, RemoveReturnsBytes) {
  Update(first_, 50'000, Use::kRequest);
  memory_.Remove(first_);
  memory_.Remove(first_);
  EXPECT_EQ(memory_.used(), 0U);
}

}  // namespace
}  // namespace jujubecove
