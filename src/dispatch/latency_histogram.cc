#include "dispatch/latency_histogram.h"

#include <algorithm>
#include <cmath>

namespace jujubecove {
namespace {

constexpr double kSmallestMs = 0.5;
constexpr double kStepLog = 0.0953101798;  // ln(1.1)
// Weight at which all counts are halved; the quantiles describe about this many
// observations.
constexpr double kFullWeight = 2000.0;
// Fewer observations than this say nothing about a high quantile.
constexpr double kLeastWeight = 30.0;

}  // namespace

void LatencyHistogram::Observe(Duration latency) {
  double ms = std::max(ToMilliseconds(latency), kSmallestMs);
  auto bucket = static_cast<std::size_t>(std::log(ms / kSmallestMs) / kStepLog);
  counts_[std::min(bucket, kBuckets - 1)] += 1.0F;
  total_ += 1.0;
  if (total_ >= kFullWeight)
    Decay();
}

Duration LatencyHistogram::Quantile(double share, Duration fallback) const {
  if (total_ < kLeastWeight)
    return fallback;
  double wanted = share * total_;
  double sum = 0.0;
  std::size_t bucket = 0;
  for (; bucket < kBuckets - 1; ++bucket) {
    sum += counts_[bucket];
    if (sum >= wanted)
      break;
  }
  double ms =
      kSmallestMs * std::exp(kStepLog * static_cast<double>(bucket + 1));
  return Duration(static_cast<Duration::rep>(ms * 1000.0));
}

void LatencyHistogram::Decay() {
  for (float& it : counts_)
    it *= 0.5F;
  total_ *= 0.5;
}

}  // namespace jujubecove
