#pragma once

#include "base/units.h"

namespace jujubecove {

// A bucket that fills at a constant rate up to its capacity.
class TokenBucket {
 public:
  // Keeps at most `capacity` of the tokens that are there.
  void Configure(double rate_per_second, double capacity, TimePoint now);
  // Sets the level to at most `level`.
  void Limit(double level, TimePoint now);
  void Take(double tokens, TimePoint now);

  double Level(TimePoint now) const;
  // How long it takes until the level is `tokens`; Duration::max() if it never
  // is.
  Duration TimeUntil(double tokens, TimePoint now) const;
  double rate_per_second() const { return rate_; }
  double capacity() const { return capacity_; }

 private:
  double rate_ = 0.0;
  double capacity_ = 0.0;
  double level_ = 0.0;
  TimePoint updated_{};
};

}  // namespace jujubecove
