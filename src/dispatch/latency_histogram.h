#pragma once

#include <array>
#include <cstddef>

#include "base/units.h"

namespace jujubecove {

// Exponentially decaying histogram of latencies with logarithmic buckets.
class LatencyHistogram {
 public:
  void Observe(Duration latency);

  // Returns `fallback` while there are too few observations.
  Duration Quantile(double quantile, Duration fallback) const;

 private:
  // Steps of 10% from 0.5 ms to 20 s.
  static constexpr std::size_t kBucketCount = 112;

  void Decay();

  std::array<float, kBucketCount> counts_{};
  double total_ = 0.0;
};

}  // namespace jujubecove
