#pragma once

#include <chrono>
#include <cstdint>

namespace jujubecove {

// The clock of TimerService. It has no now(), so that code can read the time
// only from its timer service.
struct MonotonicClock {
  using rep = std::int64_t;
  using period = std::micro;
  using duration = std::chrono::duration<rep, period>;
  using time_point = std::chrono::time_point<MonotonicClock>;
  static constexpr bool is_steady = true;
};

using Duration = MonotonicClock::duration;
using TimePoint = MonotonicClock::time_point;

// For display and for headers in milliseconds.
constexpr double ToMilliseconds(Duration duration) {
  return static_cast<double>(duration.count()) / 1000.0;
}

}  // namespace jujubecove
