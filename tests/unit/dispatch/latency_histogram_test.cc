#include "dispatch/latency_histogram.h"

#include <gtest/gtest.h>

namespace jujubecove {
namespace {

using std::chrono::milliseconds;

TEST(LatencyHistogramTest, QuantileIsExactWithinOneBucket) {
  LatencyHistogram histogram;
  for (int n = 1; n <= 100; ++n)
    histogram.Observe(milliseconds(n));
  double median = ToMilliseconds(histogram.Quantile(0.5, Duration(0)));
  EXPECT_GT(median, 45.0);
  EXPECT_LT(median, 60.0);
}

TEST(LatencyHistogramTest, ReturnsFallbackForFewObservations) {
  LatencyHistogram histogram;
  histogram.Observe(milliseconds(5));
  EXPECT_EQ(histogram.Quantile(0.9, milliseconds(77)), milliseconds(77));
}

// Guards against hedge delays that follow outdated latencies.
TEST(LatencyHistogramTest, ForgetsOldObservations) {
  LatencyHistogram histogram;
  for (int n = 0; n < 3000; ++n)
    histogram.Observe(milliseconds(10));
  for (int n = 0; n < 6000; ++n)
    histogram.Observe(milliseconds(100));
  EXPECT_GT(histogram.Quantile(0.2, Duration(0)), milliseconds(90));
}

}  // namespace
}  // namespace jujubecove
