#include "dispatch/route_latency.h"

#include <algorithm>

namespace jujubecove {
namespace {

constexpr double kMeanWeight = 0.02;
// Before anything was observed, a reply is expected within this part of the
// target, and is hedged after that part.
constexpr int kUsualPartOfTarget = 8;
constexpr int kHedgePartOfTarget = 4;
// Hedging earlier only repeats work that is about to end.
constexpr Duration kLeastHedgeDelay = std::chrono::milliseconds(3);

}  // namespace

void RouteLatency::Observe(Duration latency) {
  auto us = static_cast<double>(latency.count());
  mean_ = mean_ == 0.0 ? us : mean_ + kMeanWeight * (us - mean_);
  histogram_.Observe(latency);
}

Duration RouteLatency::usual() const {
  if (mean_ == 0.0)
    return target_ / kUsualPartOfTarget;
  return Duration(static_cast<Duration::rep>(mean_));
}

Duration RouteLatency::HedgeDelay(double quantile) const {
  Duration delay = histogram_.Quantile(quantile, target_ / kHedgePartOfTarget);
  return std::max(delay, kLeastHedgeDelay);
}

}  // namespace jujubecove
