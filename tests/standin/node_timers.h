#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <utility>

#include "kernel/timer_service.h"

namespace jujubecove {

// The clock of one simulated process on a shared clock. A paused process runs
// nothing until it is resumed, and then everything that fell due at once; a
// killed one never runs anything again.
class NodeTimers : public TimerService {
 public:
  explicit NodeTimers(TimerService& shared) : shared_(shared) {}

  TimePoint Now() const override { return shared_.Now(); }
  TimerId ScheduleAt(TimePoint when, std::function<void()> callback) override {
    std::weak_ptr<bool> alive = alive_;
    return shared_.ScheduleAt(
        when, [this, alive, callback = std::move(callback)]() mutable {
          if (alive.expired())
            return;
          if (paused_)
            overdue_.push_back(std::move(callback));
          else
            callback();
        });
  }
  void Cancel(TimerId id) override { shared_.Cancel(id); }

  void Pause() { paused_ = true; }
  void Resume() {
    paused_ = false;
    std::deque<std::function<void()>> overdue = std::move(overdue_);
    overdue_.clear();
    for (std::function<void()>& callback : overdue)
      shared_.ScheduleAfter(Duration(),
                            [this, alive = std::weak_ptr<bool>(alive_),
                             callback = std::move(callback)] {
                              if (!alive.expired())
                                callback();
                            });
  }
  bool paused() const { return paused_; }

 private:
  TimerService& shared_;
  bool paused_ = false;
  std::deque<std::function<void()>> overdue_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace jujubecove
