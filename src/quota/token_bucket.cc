#include "quota/token_bucket.h"

#include <algorithm>

namespace jujubecove {
namespace {

constexpr double kMicroseconds = 1e6;
// Longer times are of no use to anybody and would overflow.
constexpr double kMaxSeconds = 1e9;

}  // namespace

void TokenBucket::Configure(double rate_per_second,
                            double capacity,
                            TimePoint now) {
  level_ = std::min(Level(now), capacity);
  updated_ = now;
  rate_ = rate_per_second;
  capacity_ = capacity;
}

void TokenBucket::Limit(double level, TimePoint now) {
  level_ = std::min(Level(now), level);
  updated_ = now;
}

void TokenBucket::Take(double tokens, TimePoint now) {
  level_ = Level(now) - tokens;
  updated_ = now;
}

double TokenBucket::Level(TimePoint now) const {
  double elapsed =
      static_cast<double>((now - updated_).count()) / kMicroseconds;
  return std::min(level_ + std::max(elapsed, 0.0) * rate_, capacity_);
}

Duration TokenBucket::TimeUntil(double tokens, TimePoint now) const {
  double missing = tokens - Level(now);
  if (missing <= 0.0)
    return Duration(0);
  if (tokens > capacity_ || rate_ * kMaxSeconds < missing)
    return Duration::max();
  return Duration(static_cast<Duration::rep>(missing / rate_ * kMicroseconds) +
                  1);
}

}  // namespace jujubecove
