#pragma once

#include "dispatch/latency_histogram.h"

namespace jujubecove {

// Latency of successful attempts on one route, over all its searchers.
class RouteLatency {
 public:
  explicit RouteLatency(Duration target) : target_(target) {}

  void Observe(Duration latency);
  // Moving average, or an estimate from the target before any observation.
  Duration typical() const;
  Duration target() const { return target_; }
  // Nearly all replies come within this time.
  Duration UpperBound() const;
  // How long to wait for a reply before a hedge is sent.
  Duration HedgeDelay(double quantile) const;

 private:
  Duration target_;
  double mean_us_ = 0.0;
  LatencyHistogram histogram_;
};

}  // namespace jujubecove
