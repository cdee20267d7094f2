#include "kernel/fake_timer_service.h"

#include <gtest/gtest.h>

#include <string>

namespace jujubecove {
namespace {

// Guards against callbacks of the same time running in an unspecified order,
// which would make tests on the fake clock nondeterministic.
TEST(FakeTimerServiceTest, RunsCallbacksInOrderOfTimeThenScheduling) {
  FakeTimerService timers;
  std::string order;
  timers.ScheduleAfter(Duration(20), [&order] { order += 'c'; });
  timers.ScheduleAfter(Duration(10), [&order] { order += 'a'; });
  timers.ScheduleAfter(Duration(10), [&order] { order += 'b'; });
  timers.AdvanceBy(Duration(20));
  EXPECT_EQ(order, "abc");
}

// Guards against running a cancelled callback, also if another callback of the
// same time cancels it.
TEST(FakeTimerServiceTest, CancelledCallbackDoesNotRun) {
  FakeTimerService timers;
  bool ran = false;
  TimerId second;
  timers.ScheduleAfter(Duration(10), [&] { timers.Cancel(second); });
  second = timers.ScheduleAfter(Duration(10), [&] { ran = true; });
  timers.AdvanceBy(Duration(10));
  EXPECT_FALSE(ran);
  EXPECT_TRUE(timers.empty());
}

}  // namespace
}  // namespace jujubecove
