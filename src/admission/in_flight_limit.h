#pragma once

#include <cstddef>
#include <cstdint>

#include "base/units.h"

namespace jujubecove {

// What an admitted query tells of the load.
enum class Congestion : std::uint8_t {
  kNone,
  // Queries take long. That depends on what each daemon holds to be usual, so
  // it brings the limit down to the start at most: otherwise a daemon that once
  // saw short durations would leave all capacity to the others.
  kSlow,
  // Attempts were refused, or the deadline was missed.
  kRefused,
};

// This daemon's limit of queries in flight at one service: additive increase,
// multiplicative decrease by what admitted queries met.
class InFlightLimit {
 public:
  // `start` is a multiple of the service's capacity; a change of it scales the
  // present limit.
  void Configure(double start);

  // A query that was admitted at `admitted` ended. `in_flight` includes it.
  void OnFinished(std::size_t in_flight,
                  Congestion congestion,
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
