#include "kernel/fake_timer_service.h"

#include <algorithm>

namespace jujubecove {

TimerId FakeTimerService::ScheduleAt(TimePoint when,
                                     std::function<void()> callback) {
  std::uint64_t id = next_id_++;
  TimePoint due = std::max(when, now_);
  callbacks_.emplace(Key(due, id), std::move(callback));
  due_times_.emplace(id, due);
  return TimerId(id);
}

void FakeTimerService::Cancel(TimerId id) {
  auto it = due_times_.find(id.value());
  if (it == due_times_.end())
    return;
  callbacks_.erase(Key(it->second, id.value()));
  due_times_.erase(it);
}

bool FakeTimerService::RunNext() {
  if (callbacks_.empty())
    return false;
  auto it = callbacks_.begin();
  now_ = std::max(now_, it->first.first);
  std::function<void()> callback = std::move(it->second);
  due_times_.erase(it->first.second);
  callbacks_.erase(it);
  callback();
  return true;
}

void FakeTimerService::AdvanceTo(TimePoint until) {
  while (!callbacks_.empty() && callbacks_.begin()->first.first <= until)
    RunNext();
  now_ = std::max(now_, until);
}

}  // namespace jujubecove
