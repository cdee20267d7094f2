#include <gtest/gtest.h>

#include "tests/standin/at_most_once_simulation.h"
#include "tests/standin/snapshot_simulation.h"

namespace jujubecove::standin {
namespace {

class SimulationTest : public testing::TestWithParam<int> {
 protected:
  std::uint64_t seed() const { return static_cast<std::uint64_t>(GetParam()); }
};

// Guards against mixed versions and wrong coverage during rollouts, and against
// failing queries while a common version exists. The required share is lower
// than in bench/snapshot_bench because this run is shorter, so that one bad
// second weighs more.
TEST_P(SimulationTest, NeverMixesVersionsDuringRollouts) {
  SnapshotSimulationOptions options;
  options.seed = seed();
  options.queries = 2'000;
  SnapshotSimulationResult result = SimulateSnapshots(options);
  EXPECT_EQ(result.answered, options.queries);
  EXPECT_EQ(result.mixed, 0U);
  EXPECT_EQ(result.false_coverage, 0U);
  EXPECT_GE(result.with_common_version_whole * 100,
            result.with_common_version * 95);
}

// Guards against a second effect and against reporting a wrong execution status
// under lost messages, duplicate requests, daemon kills and pauses.
TEST_P(SimulationTest, RecordsTakeEffectAtMostOnce) {
  AtMostOnceOptions options;
  options.seed = seed();
  options.records = 2'000;
  AtMostOnceResult result = SimulateAtMostOnce(options);
  EXPECT_EQ(result.second_effects, 0U);
  EXPECT_EQ(result.false_not_run, 0U);
  EXPECT_EQ(result.false_ran, 0U);
  EXPECT_GT(result.kills, 0U);
  EXPECT_GT(result.known_not_run, 0U);
  EXPECT_GE(result.known_ran * 10, result.records * 8);
}

// Guards against a simulation that cannot detect second effects.
TEST(AtMostOnceBaselineTest, DetectsSecondEffectsWithoutTickets) {
  AtMostOnceOptions options;
  options.records = 500;
  options.tickets = false;
  EXPECT_GT(SimulateAtMostOnce(options).second_effects, 0U);
}

INSTANTIATE_TEST_SUITE_P(Seeds, SimulationTest, testing::Range(1, 6));

}  // namespace
}  // namespace jujubecove::standin
