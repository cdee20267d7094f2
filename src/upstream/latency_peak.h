#pragma once

#include "base/units.h"

namespace jujubecove {

// A slowly falling maximum of recent latencies.
class LatencyPeak {
 public:
  void Observe(Duration sample) {
    known_ = true;
    if (sample >= peak_)
      peak_ = sample;
    else
      peak_ -= (peak_ - sample) / kFall;
  }
  bool known() const { return known_; }
  Duration value() const { return peak_; }

 private:
  // The peak halves its distance to the samples within about 22 of them, which
  // keeps about the 97th percentile of a steady distribution below it.
  static constexpr int kFall = 32;

  Duration peak_{};
  bool known_ = false;
};

}  // namespace jujubecove
