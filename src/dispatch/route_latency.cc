#include "dispatch/route_latency.h"

#include <algorithm>

namespace jujubecove {
namespace {

constexpr double kMeanWeight = 0.02;
// Estimates before any observation: the target latency divided by these.
constexpr int kInitialLatencyTargetDivisor = 8;
constexpr int kInitialHedgeTargetDivisor = 4;
constexpr double kUpperQuantile = 0.99;
// At least this multiple of the mean, for routes with few observations.
constexpr int kUpperMeanFactor = 2;
// An earlier hedge would only repeat work that is about to end.
constexpr Duration kMinHedgeDelay = std::chrono::milliseconds(3);

}  // namespace

void RouteLatency::Observe(Duration latency) {
  auto us = static_cast<double>(latency.count());
  mean_us_ = mean_us_ == 0.0 ? us : mean_us_ + kMeanWeight * (us - mean_us_);
  histogram_.Observe(latency);
}

Duration RouteLatency::typical() const {
  if (mean_us_ == 0.0)
    return target_ / kInitialLatencyTargetDivisor;
  return Duration(static_cast<Duration::rep>(mean_us_));
}

Duration RouteLatency::UpperBound() const {
  return std::max(histogram_.Quantile(kUpperQuantile, target_),
                  kUpperMeanFactor * typical());
}

Duration RouteLatency::HedgeDelay(double quantile) const {
  Duration delay =
      histogram_.Quantile(quantile, target_ / kInitialHedgeTargetDivisor);
  return std::max(delay, kMinHedgeDelay);
}

}  // namespace jujubecove
