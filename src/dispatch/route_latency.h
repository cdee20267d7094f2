#pragma once

#include "dispatch/latency_histogram.h"

namespace jujubecove {

// Latency of successful attempts on one route, over all its searchers.
class RouteLatency {
 public:
  explicit RouteLatency(Duration target) : target_(target) {}

  // `on_new_connection` is set for the first request on a connection.
  void Observe(Duration latency, bool on_new_connection = false);
  // Moving average, or an estimate from the target before any observation.
  Duration typical() const;
  Duration target() const { return target_; }
  // By how much the first request on a connection takes longer than others.
  // Zero until enough of both have been observed.
  Duration NewConnectionCost() const;
  // Nearly all replies come within this time.
  Duration UpperBound() const;
  // How long to wait for a reply before a hedge is sent.
  Duration HedgeDelay(double quantile) const;

 private:
  struct Average {
    double mean_us = 0.0;
    int count = 0;
  };
  static void Add(Average& average, double us);

  Duration target_;
  double mean_us_ = 0.0;
  Average on_new_connections_;
  Average on_kept_connections_;
  LatencyHistogram histogram_;
};

}  // namespace jujubecove
