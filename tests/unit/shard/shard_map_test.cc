#include "shard/shard_map.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "shard/coverage.h"

namespace jujubecove {
namespace {

struct InvalidMapCase {
  std::string name;
  std::vector<ShardEntry> shards;
};

ShardEntry Entry(const std::string& id,
                 const std::string& from,
                 const std::string& to) {
  return ShardEntry{ShardId(id), KeyRange{from, to}};
}

class InvalidShardMapTest : public testing::TestWithParam<InvalidMapCase> {};

// Guards against a map that does not span the key space, with which coverage
// would not show a lost range as a gap.
TEST_P(InvalidShardMapTest, IsRejected) {
  EXPECT_FALSE(ShardMap::Create(ShardMapVersion(1), GetParam().shards));
}

INSTANTIATE_TEST_SUITE_P(
    Faults,
    InvalidShardMapTest,
    testing::Values(
        InvalidMapCase{"empty", {}},
        InvalidMapCase{"late_start", {Entry("a", "b", "")}},
        InvalidMapCase{"early_end", {Entry("a", "", "b")}},
        InvalidMapCase{"hole", {Entry("a", "", "b"), Entry("b", "c", "")}},
        InvalidMapCase{"overlap", {Entry("a", "", "c"), Entry("b", "b", "")}},
        InvalidMapCase{"duplicate", {Entry("a", "", "c"), Entry("a", "c", "")}},
        InvalidMapCase{"unbounded_middle",
                       {Entry("a", "", ""), Entry("b", "", "")}}),
    [](const testing::TestParamInfo<InvalidMapCase>& info) {
      return info.param.name;
    });

// Guards against finding the shard below for a key at a boundary.
TEST(ShardMapTest, FindsShardOfKey) {
  ShardMap map = ShardMap::Create(ShardMapVersion(1),
                                  {Entry("a", "", "h"), Entry("b", "h", "q"),
                                   Entry("c", "q", "")})
                     .value();
  EXPECT_EQ(map.IndexOfKey(""), 0U);
  EXPECT_EQ(map.IndexOfKey("gzz"), 0U);
  EXPECT_EQ(map.IndexOfKey("h"), 1U);
  EXPECT_EQ(map.IndexOfKey("zebra"), 2U);
}

// Guards against counting shards in the share that were not addressed.
TEST(CoverageTest, ShareCountsAddressedShardsOnly) {
  ShardMap map = ShardMap::Create(ShardMapVersion(3),
                                  {Entry("a", "", "h"), Entry("b", "h", "")})
                     .value();
  Coverage coverage(map, GapCause::kNotAddressed);
  EXPECT_EQ(coverage.covered_share(), 0.0);
  coverage.SetGap(1, GapCause::kTimeout);
  EXPECT_EQ(coverage.covered_share(), 0.0);
  coverage.SetCovered(1);
  EXPECT_EQ(coverage.covered_share(), 1.0);
  EXPECT_EQ(coverage.covered_count(), 1U);
}

}  // namespace
}  // namespace jujubecove
