#pragma once

#include <map>
#include <unordered_map>
#include <utility>

#include "kernel/timer_service.h"

namespace jujubecove {

// A clock that moves only when told to, for deterministic tests. Callbacks of
// the same instant run in the order in which they were scheduled.
class FakeTimerService : public TimerService {
 public:
  TimePoint Now() const override { return now_; }
  TimerId ScheduleAt(TimePoint when, std::function<void()> callback) override;
  void Cancel(TimerId id) override;

  // Runs everything that falls due up to `until` and leaves the clock there.
  void AdvanceTo(TimePoint until);
  void AdvanceBy(Duration delay) { AdvanceTo(now_ + delay); }
  // Moves the clock without running anything, as for a process that was paused.
  void SimulatePause(Duration delay) { now_ += delay; }
  // Runs the next callback; false when none is left.
  bool RunNext();
  bool empty() const { return callbacks_.empty(); }

 private:
  using Key = std::pair<TimePoint, std::uint64_t>;

  TimePoint now_{};
  std::uint64_t next_id_ = 1;
  std::map<Key, std::function<void()>> callbacks_;
  std::unordered_map<std::uint64_t, TimePoint> due_times_;
};

}  // namespace jujubecove
