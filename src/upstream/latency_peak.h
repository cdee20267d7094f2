#pragma once

#include "base/units.h"

namespace jujubecove {

// A decaying maximum of recent latencies.
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
  // The peak halves its distance to lower samples within about 22 of them.
  // About 97% of the samples of a steady distribution stay below it.
  static constexpr int kDecayDivisor = 32;

  Duration peak_{};
  bool has_samples_ = false;
};

}  // namespace jujubecove
