#pragma once

#include <map>
#include <unordered_map>
#include <utility>

#include "kernel/timer_service.h"

namespace jujubecove {

// A manually advanced clock for deterministic tests. Callbacks that are due at
// the same time run in the order in which they were scheduled.
class FakeTimerService : public TimerService {
 public:
  TimePoint Now() const override { return now_; }
  TimerId ScheduleAt(TimePoint when, std::function<void()> callback) override;
  void Cancel(TimerId id) override;

  // Runs all callbacks that are due by `until` and sets the clock to `until`.
  void AdvanceTo(TimePoint until);
  void AdvanceBy(Duration delay) { AdvanceTo(now_ + delay); }
  // Advances the clock without running callbacks, like a pause of the process.
  void SimulatePause(Duration delay) { now_ += delay; }
  // Advances the clock to the next callback and runs it. Returns false if there
  // is none.
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
