#pragma once

#include <cstdint>
#include <functional>

#include "base/strong_id.h"
#include "base/units.h"

namespace jujubecove {

// Identifies a scheduled callback; never reused. Zero means none.
using TimerId = StrongId<struct TimerIdTag, std::uint64_t>;

// The only source of time for the code of one thread. Callbacks run on that
// thread.
class TimerService {
 public:
  virtual ~TimerService() = default;

  virtual TimePoint Now() const = 0;
  // Like Now(), but also counts time in which the VM was suspended. Only values
  // of this clock can be compared with each other.
  virtual TimePoint NowWithSuspension() const { return Now(); }
  // Runs `callback` once at `when`, or as soon as possible if `when` has
  // passed.
  virtual TimerId ScheduleAt(TimePoint when,
                             std::function<void()> callback) = 0;
  // Does nothing if the callback has run or was cancelled.
  virtual void Cancel(TimerId id) = 0;

  TimerId ScheduleAfter(Duration delay, std::function<void()> callback) {
    return ScheduleAt(Now() + delay, std::move(callback));
  }
};

}  // namespace jujubecove
