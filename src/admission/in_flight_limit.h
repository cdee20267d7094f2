#pragma once

#include <cstddef>
#include <cstdint>

#include "base/units.h"

namespace jujubecove {

// Congestion that a finished query shows.
enum class Congestion : std::uint8_t {
  kNone,
  // Queries take long. What counts as long depends on each daemon's estimate,
  // so this lowers the limit no further than its initial value. Otherwise a
  // daemon that once saw short durations would yield all capacity to the
  // others.
  kSlow,
  // Attempts were refused, or the deadline was missed.
  kRefused,
};

// This daemon's limit of queries in flight at one service (AIMD, by the
// congestion that queries show).
class InFlightLimit {
 public:
  // Sets the initial limit. A later change scales the current limit.
  void Configure(double initial);

  // A query that was admitted at `admitted` finished. `in_flight` includes it.
  void OnFinished(std::size_t in_flight,
                  Congestion congestion,
                  TimePoint admitted,
                  TimePoint now);

  // At least 1.
  std::size_t limit() const { return static_cast<std::size_t>(limit_); }

 private:
  double initial_ = 0;
  double limit_ = 1;
  TimePoint decreased_at_{Duration::min()};
};

}  // namespace jujubecove
