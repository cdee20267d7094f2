#pragma once

#include <array>
#include <cstddef>

#include "base/units.h"

namespace jujubecove {

// Distribution of recent latencies in buckets that grow by a constant factor.
// Older observations lose weight exponentially.
class LatencyHistogram {
 public:
  void Observe(Duration latency);

  // The latency that the given share of recent observations does not exceed;
  // `fallback` while there are too few of them.
  Duration Quantile(double share, Duration fallback) const;

 private:
  // 10% steps from 0.5 ms on cover up to 20 s.
  static constexpr std::size_t kBuckets = 112;

  void Decay();

  std::array<float, kBuckets> counts_{};
  double total_ = 0.0;
};

}  // namespace jujubecove
