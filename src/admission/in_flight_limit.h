#pragma once

#include <cstddef>

#include "base/units.h"

namespace jujubecove {

// This daemon's limit of queries in flight at one service: additive increase,
// multiplicative decrease by what admitted queries met.
class InFlightLimit {
 public:
  // `start` is a multiple of the service's capacity; a change of it scales the
  // present limit.
  void Configure(double start);

  // A query that was admitted at `admitted` ended. `in_flight` includes it.
  void OnFinished(std::size_t in_flight,
                  bool congested,
                  TimePoint admitted,
                  TimePoint now);

  // At least 1.
  std::size_t limit() const { return static_cast<std::size_t>(limit_); }

 private:
  double start_ = 0;
  double limit_ = 1;
  TimePoint decreased_at_{Duration::min()};
};

}  // namespace jujubecove
