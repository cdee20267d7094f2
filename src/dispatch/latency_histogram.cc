#include "dispatch/latency_histogram.h"

#include <algorithm>
#include <cmath>

namespace jujubecove {
namespace {

constexpr double kMinLatencyMs = 0.5;
constexpr double kLogBucketRatio = 0.0953101798;  // ln(1.1)
// Total weight at which all counts are halved, so that quantiles cover about
// this many observations.
constexpr double kDecayThreshold = 2000.0;
// High quantiles of fewer observations are unreliable.
constexpr double kMinObservations = 30.0;

}  // namespace

void LatencyHistogram::Observe(Duration latency) {
  double ms = std::max(ToMilliseconds(latency), kMinLatencyMs);
  auto bucket =
      static_cast<std::size_t>(std::log(ms / kMinLatencyMs) / kLogBucketRatio);
  counts_[std::min(bucket, kBucketCount - 1)] += 1.0F;
  total_ += 1.0;
  if (total_ >= kDecayThreshold)
    Decay();
}

Duration LatencyHistogram::Quantile(double quantile, Duration fallback) const {
  if (total_ < kMinObservations)
    return fallback;
  double rank = quantile * total_;
  double sum = 0.0;
  std::size_t bucket = 0;
  for (; bucket < kBucketCount - 1; ++bucket) {
    sum += counts_[bucket];
    if (sum >= rank)
      break;
  }
  double ms = kMinLatencyMs *
              std::exp(kLogBucketRatio * static_cast<double>(bucket + 1));
  return Duration(static_cast<Duration::rep>(ms * 1000.0));
}

void LatencyHistogram::Decay() {
  for (float& it : counts_)
    it *= 0.5F;
  total_ *= 0.5;
}

}  // namespace jujubecove
