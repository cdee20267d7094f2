#include "telemetry/summary.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <random>
#include <string>
#include <vector>

#include "base/random.h"

namespace jujubecove {
namespace {

struct Distribution {
  std::string name;
  std::function<double(RandomEngine&)> draw;
};

double RankError(const std::vector<double>& sorted,
                 double value,
                 double share) {
  auto it = std::upper_bound(sorted.begin(), sorted.end(), value);
  double below = static_cast<double>(it - sorted.begin()) /
                 static_cast<double>(sorted.size());
  return std::abs(below - share);
}

// Guards against rank errors above the bounds that the header states.
TEST(SummaryTest, QuantilesAreWithinTheStatedRankError) {
  const std::vector<double> max_rank_errors = {0.005, 0.005, 0.002, 0.002};
  const std::vector<Distribution> distributions = {
      {"uniform",
       [](RandomEngine& random) {
         return std::uniform_real_distribution<double>(0, 1)(random);
       }},
      {"exponential",
       [](RandomEngine& random) {
         return std::exponential_distribution<double>(100)(random);
       }},
      {"log-normal",
       [](RandomEngine& random) {
         return std::lognormal_distribution<double>(0, 1)(random);
       }},
  };
  for (const Distribution& distribution : distributions) {
    for (std::size_t size : {1'025U, 2'000U, 4'000U, 8'192U, 16'383U}) {
      RandomEngine random(7);
      Summary summary;
      std::vector<double> values;
      for (std::size_t n = 0; n < size; ++n) {
        values.push_back(distribution.draw(random));
        summary.Observe(values.back());
      }
      std::sort(values.begin(), values.end());
      for (std::size_t n = 0; n < Summary::kQuantiles.size(); ++n)
        EXPECT_LE(
            RankError(values, summary.QuantileAt(n), Summary::kQuantiles[n]),
            max_rank_errors[n])
            << distribution.name << " " << size << " "
            << Summary::kQuantiles[n];
    }
  }
}

// Guards against wrong quantiles after few observations.
TEST(SummaryTest, IsExactForFewObservations) {
  Summary summary;
  EXPECT_TRUE(std::isnan(summary.QuantileAt(0)));
  for (int n = 50; n >= 1; --n)
    summary.Observe(n);
  EXPECT_EQ(summary.QuantileAt(0), 25.0);
  EXPECT_EQ(summary.QuantileAt(1), 45.0);
  EXPECT_EQ(summary.QuantileAt(2), 50.0);
  EXPECT_EQ(summary.sum(), 1275.0);
  EXPECT_EQ(summary.count(), 50U);
}

// Guards against a summary that keeps all observations, which would hide a
// change after a long run.
TEST(SummaryTest, ForgetsOldObservations) {
  Summary summary;
  for (int n = 0; n < 100'000; ++n)
    summary.Observe(1.0);
  for (int n = 0; n < 20'000; ++n)
    summary.Observe(5.0);
  EXPECT_EQ(summary.QuantileAt(0), 5.0);
}

}  // namespace
}  // namespace jujubecove
