#include <gtest/gtest.h>

#include "tests/unit/handover/simulated_zone.h"

namespace jujubecove {
namespace {

using std::chrono::seconds;
using State = SimulatedZone::State;

constexpr std::size_t kSmall = 33;

// 33 VMs with a twelfth of a core, then two with half of one.
std::vector<double> UnequalShares() {
  std::vector<double> shares(kSmall, 0.084);
  shares.insert(shares.end(), 2, 0.5);
  return shares;
}

double Share(int part, int whole) {
  return static_cast<double>(part) / std::max(whole, 1);
}

// Load: 35 queries a second, each of 50 ms on a small VM, against a target of
// 60 ms. The large VMs have room for all of them.
class UnequalZoneTest : public testing::Test {
 protected:
  UnequalZoneTest() : zone_(UnequalShares()) { zone_.RunFor(seconds(12), 0); }
  SimulatedZone zone_;
};

// Guards against small VMs that keep queries which they answer late.
TEST_F(UnequalZoneTest, LargeVmsRunNearlyAllQueriesInTime) {
  Duration busy_before = zone_.vm(kSmall).busy + zone_.vm(kSmall + 1).busy;
  SimulatedZone::Outcome outcome = zone_.RunFor(seconds(30), kSmall);
  EXPECT_GT(Share(outcome.handed_over, outcome.asked), 0.9);
  EXPECT_GT(Share(outcome.in_target, outcome.asked), 0.92);
  EXPECT_EQ(outcome.failed, 0);
  for (std::size_t n : {kSmall, kSmall + 1})
    EXPECT_GT(zone_.vm(n).runs, 300);
  Duration busy =
      zone_.vm(kSmall).busy + zone_.vm(kSmall + 1).busy - busy_before;
  EXPECT_LT(busy, 2 * seconds(30) * 0.5);
}

// Guards against a large VM that nobody uses because it has no callers of its
// own, and so no times.
TEST(IdleLargeVmTest, TakesQueriesOver) {
  SimulatedZone zone(UnequalShares());
  zone.vm(kSmall).has_callers = zone.vm(kSmall + 1).has_callers = false;
  zone.RunFor(seconds(12), 0);
  SimulatedZone::Outcome outcome = zone.RunFor(seconds(20), kSmall);
  EXPECT_GT(Share(outcome.handed_over, outcome.asked), 0.9);
}

// Guards against large VMs that take over more than they can do: three times
// the load, and six times, which is beyond their processors.
TEST_F(UnequalZoneTest, OverloadedLargeVmsLeaveQueriesToSmallOnes) {
  SimulatedZone::Outcome outcome = zone_.RunFor(seconds(15), kSmall, 3.0);
  EXPECT_GT(Share(outcome.in_target, outcome.asked), 0.85);
  outcome = zone_.RunFor(seconds(15), kSmall, 6.0);
  EXPECT_LT(Share(outcome.failed, outcome.asked), 0.01);
  for (std::size_t n : {kSmall, kSmall + 1})
    EXPECT_LT(zone_.vm(n).in_progress, 20);
}

// Guards against callers that lose one request after the other to a VM that is
// frozen: each VM loses about one, then uses another until that one answers.
TEST_F(UnequalZoneTest, FrozenVmCostsEachSenderOneQueryAtMost) {
  zone_.Freeze(kSmall, seconds(5));
  SimulatedZone::Outcome first = zone_.RunFor(seconds(2), kSmall);
  EXPECT_LE(first.failed, static_cast<int>(kSmall));
  SimulatedZone::Outcome later = zone_.RunFor(seconds(3), kSmall);
  EXPECT_LT(Share(later.failed, later.asked), 0.12);
  EXPECT_GT(Share(later.in_target, later.asked), 0.8);
  zone_.RunFor(seconds(10), 0);
  int runs = zone_.vm(kSmall).runs;
  zone_.RunFor(seconds(10), 0);
  // Of 350 queries.
  EXPECT_GT(zone_.vm(kSmall).runs - runs, 60);
}

// Guards against queries that wait for, or fail with, VMs that are gone or
// stop: these run here at once.
TEST_F(UnequalZoneTest, KilledOrStoppingVmsCostNoQuery) {
  zone_.vm(kSmall).state = State::kKilled;
  zone_.vm(kSmall + 1).state = State::kDraining;
  SimulatedZone::Outcome outcome = zone_.RunFor(seconds(10), kSmall);
  EXPECT_EQ(outcome.failed, 0);
  // Each sender finds out once, and seldom again.
  EXPECT_LT(Share(outcome.handed_over, outcome.asked), 0.3);
}

// Guards against a VM with an older configuration that undoes a change.
TEST_F(UnequalZoneTest, OnlyVmsWithTheSameConfigurationTakeQueriesOver) {
  for (std::size_t n = 0; n < kSmall; ++n)
    zone_.vm(n).version = ConfigVersion(2);
  int runs = zone_.vm(kSmall).runs + zone_.vm(kSmall + 1).runs;
  SimulatedZone::Outcome outcome = zone_.RunFor(seconds(5), kSmall);
  EXPECT_EQ(outcome.handed_over, 0);
  runs = zone_.vm(kSmall).runs + zone_.vm(kSmall + 1).runs - runs;
  EXPECT_LT(runs, 25);
  for (std::size_t n : {kSmall, kSmall + 1})
    zone_.vm(n).version = ConfigVersion(2);
  zone_.RunFor(seconds(3), 0);
  outcome = zone_.RunFor(seconds(10), kSmall);
  EXPECT_GT(Share(outcome.handed_over, outcome.asked), 0.8);
}

// Guards against VMs of one kind that pass queries on for nothing, whether they
// are fast or slow.
TEST(EqualZoneTest, EqualVmsKeepTheirQueries) {
  for (double share : {0.5, 0.084}) {
    SimulatedZone zone(std::vector<double>(8, share));
    SimulatedZone::Outcome outcome = zone.RunFor(seconds(60), 8);
    EXPECT_LT(Share(outcome.handed_over, outcome.asked), 0.03) << share;
  }
}

}  // namespace
}  // namespace jujubecove
