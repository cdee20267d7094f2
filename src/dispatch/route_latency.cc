#include "dispatch/route_latency.h"

#include <algorithm>

namespace jujubecove {
namespace {

constexpr double kMeanWeight = 0.02;
// Observations on new and on kept connections before their difference is used.
constexpr int kMinObservations = 10;
// A connection takes at most the target latency divided by this, so that pauses
// of searchers on few observations don't outweigh their load.
constexpr int kMaxConnectionCostDivisor = 8;
// Estimates before any observation: the target latency divided by these.
constexpr int kInitialLatencyTargetDivisor = 8;
constexpr int kInitialHedgeTargetDivisor = 4;
constexpr double kUpperQuantile = 0.99;
// At least this multiple of the mean, for routes with few observations.
constexpr int kUpperMeanFactor = 2;
// An earlier hedge would only repeat work that is about to end.
constexpr Duration kMinHedgeDelay = std::chrono::milliseconds(3);

}  // namespace

// A plain mean of the first observations, then a moving average.
void RouteLatency::Add(Average& average, double us) {
  ++average.count;
  double weight = std::max(kMeanWeight, 1.0 / average.count);
  average.mean_us += weight * (us - average.mean_us);
}

void RouteLatency::Observe(Duration latency, bool on_new_connection) {
  auto us = static_cast<double>(latency.count());
  Add(on_new_connection ? on_new_connections_ : on_kept_connections_,
      std::min(us, static_cast<double>(target_.count())));
  mean_us_ = mean_us_ == 0.0 ? us : mean_us_ + kMeanWeight * (us - mean_us_);
  histogram_.Observe(latency);
}

Duration RouteLatency::typical() const {
  if (mean_us_ == 0.0)
    return target_ / kInitialLatencyTargetDivisor;
  return Duration(static_cast<Duration::rep>(mean_us_));
}

Duration RouteLatency::NewConnectionCost() const {
  if (on_new_connections_.count < kMinObservations ||
      on_kept_connections_.count < kMinObservations)
    return Duration(0);
  Duration cost(static_cast<Duration::rep>(on_new_connections_.mean_us -
                                           on_kept_connections_.mean_us));
  return std::clamp(cost, Duration(0), target_ / kMaxConnectionCostDivisor);
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
