#include "dispatch/repeat_budget.h"

#include <gtest/gtest.h>

namespace jujubecove {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr RepeatBudgetOptions kOptions = {.ratio = 0.2, .slack = 60.0};
constexpr int kFleet = 4;

int TakeAll(FleetRepeatBudget& budget, TimePoint now) {
  int taken = 0;
  while (budget.TryTakeRetry(now))
    ++taken;
  return taken;
}

// Guards against a fleet that sends more repeats than the bound of the service
// in some window, whenever the load changes.
TEST(FleetRepeatBudgetTest, TheFleetStaysWithinTheBoundInEveryWindow) {
  TimePoint start(seconds(1000));
  FleetRepeatBudget budget(kOptions, start);
  budget.set_fleet_size(kFleet);
  std::vector<int> requests;
  std::vector<int> repeats;
  for (int step = 0; step < 600; ++step) {
    TimePoint now = start + seconds(20) + step * milliseconds(100);
    int load = step % 200 < 100 ? 5 : 1;
    for (int n = 0; n < load; ++n)
      budget.CountRequest(now);
    requests.push_back(load);
    repeats.push_back(TakeAll(budget, now));
  }
  for (std::size_t begin = 0; begin + 100 <= requests.size(); ++begin) {
    double asked = 0.0;
    double sent = 0.0;
    for (std::size_t n = begin; n < begin + 100; ++n) {
      asked += requests[n];
      sent += repeats[n];
    }
    EXPECT_LE(sent * kFleet, 0.2 * asked * kFleet + 60.0) << begin;
  }
}

// Guards against a restarted daemon that takes the slack a second time.
TEST(FleetRepeatBudgetTest, ANewProcessGetsItsSlackOverOneWindow) {
  TimePoint start(seconds(1000));
  FleetRepeatBudget budget(kOptions, start);
  budget.set_fleet_size(kFleet);
  EXPECT_EQ(TakeAll(budget, start), 0);
  int after_half = TakeAll(budget, start + seconds(5));
  EXPECT_GT(after_half, 4);
  EXPECT_LT(after_half, 8);
}

// Guards against hedges that leave nothing for retries after failures.
TEST(FleetRepeatBudgetTest, HedgesLeaveAReserve) {
  TimePoint now(seconds(2000));
  FleetRepeatBudget budget(kOptions, TimePoint(seconds(1000)));
  while (budget.TryTakeHedge(now)) {
  }
  EXPECT_TRUE(budget.TryTakeRetry(now));
}

TEST(FleetRepeatBudgetTest, WhatWasNotSentComesBack) {
  TimePoint now(seconds(2000));
  FleetRepeatBudget budget(kOptions, TimePoint(seconds(1000)));
  TakeAll(budget, now);
  EXPECT_FALSE(budget.TryTakeRetry(now));
  budget.Return();
  EXPECT_TRUE(budget.TryTakeRetry(now));
}

}  // namespace
}  // namespace jujubecove
