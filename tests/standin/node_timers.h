#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <utility>
#include <vector>

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
    std::uint64_t id = next_id_++;
    Entry& entry = entries_[id];
    entry.callback = std::move(callback);
    entry.shared_id = shared_.ScheduleAt(when, Firing(id));
    return TimerId(id);
  }
  // Also cancels what fell due while paused and has not run yet.
  void Cancel(TimerId id) override {
    auto it = entries_.find(id.value());
    if (it == entries_.end())
      return;
    shared_.Cancel(it->second.shared_id);
    entries_.erase(it);
  }

  void Pause() { paused_ = true; }
  void Resume() {
    paused_ = false;
    for (std::uint64_t id : std::exchange(overdue_, {})) {
      auto it = entries_.find(id);
      if (it != entries_.end())
        it->second.shared_id = shared_.ScheduleAfter(Duration(), Firing(id));
    }
  }
  bool paused() const { return paused_; }

 private:
  struct Entry {
    std::function<void()> callback;
    TimerId shared_id;
  };

  std::function<void()> Firing(std::uint64_t id) {
    std::weak_ptr<bool> alive = alive_;
    return [this, alive, id] {
      if (!alive.expired())
        Fire(id);
    };
  }

  void Fire(std::uint64_t id) {
    if (paused_) {
      overdue_.push_back(id);
      return;
    }
    auto it = entries_.find(id);
    if (it == entries_.end())
      return;
    std::function<void()> callback = std::move(it->second.callback);
    entries_.erase(it);
    callback();
  }

  TimerService& shared_;
  bool paused_ = false;
  std::uint64_t next_id_ = 1;
  std::map<std::uint64_t, Entry> entries_;
  std::vector<std::uint64_t> overdue_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace jujubecove
