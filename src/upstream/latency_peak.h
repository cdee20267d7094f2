#pragma once

#include "base/units.h"

namespace jujubecove {

// A slowly falling maximum of recent latencies.
class LatencyPeak {
 public:
  void Observe(Duration sample) {
    has_samples_ = true;
    if (sample >= peak_)
      peak_ = sample;
    else
      peak_ -= (peak_ - sample) / kDecayDivisor;
  }
  bool has_samples() const { return has_samples_; }
  Duration value() const { return peak_; }

 private:
  // The peak halves its distance to the samples within about 22 of them, which
  // keeps about the 97th percentile of a steady distribution below it.
  static constexpr int kDecayDivisor = 32;

  Duration peak_{};
  bool has_samples_ = false;
};

}  // namespace jujubecove
