#pragma once

#include "dispatch/latency_histogram.h"

namespace jujubecove {

// Latency of single attempts on one route, over all its searchers.
class RouteLatency {
 public:
  explicit RouteLatency(Duration target) : target_(target) {}

  void Observe(Duration latency);
  // The average latency; a guess from the route's target at first.
  Duration usual() const;
  Duration target() const { return target_; }
  // How long an attempt may stay unanswered before another searcher is asked.
  Duration HedgeDelay(double quantile) const;

 private:
  Duration target_;
  double mean_ = 0.0;
  LatencyHistogram histogram_;
};

}  // namespace jujubecove
