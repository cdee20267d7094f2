#include "kernel/asio_timer_service.h"

#include <boost/system/error_code.hpp>
#include <chrono>

namespace jujubecove {

AsioTimerService::AsioTimerService(boost::asio::io_context& context)
    : timer_(context) {}

TimePoint AsioTimerService::Now() const {
  std::chrono::steady_clock::duration elapsed =
      std::chrono::steady_clock::now().time_since_epoch();
  return TimePoint(std::chrono::duration_cast<Duration>(elapsed));
}

TimerId AsioTimerService::ScheduleAt(TimePoint when,
                                     std::function<void()> callback) {
  std::uint64_t id = next_id_++;
  callbacks_.emplace(Key(when, id), std::move(callback));
  due_times_.emplace(id, when);
  if (when < armed_for_)
    Arm();
  return TimerId(id);
}

void AsioTimerService::Cancel(TimerId id) {
  auto it = due_times_.find(id.value());
  if (it == due_times_.end())
    return;
  callbacks_.erase(Key(it->second, id.value()));
  due_times_.erase(it);
}

// A cancelled callback leaves the timer armed: waking up once for nothing is
// cheaper than arming again each time.
void AsioTimerService::Arm() {
  armed_for_ = callbacks_.begin()->first.first;
  timer_.expires_at(
      std::chrono::steady_clock::time_point(armed_for_.time_since_epoch()));
  timer_.async_wait([this](const boost::system::error_code& ec) {
    if (!ec)
      RunDue();
  });
}

void AsioTimerService::RunDue() {
  armed_for_ = TimePoint::max();
  TimePoint now = Now();
  while (!callbacks_.empty() && callbacks_.begin()->first.first <= now) {
    auto it = callbacks_.begin();
    std::function<void()> callback = std::move(it->second);
    due_times_.erase(it->first.second);
    callbacks_.erase(it);
    callback();
  }
  if (!callbacks_.empty() && callbacks_.begin()->first.first < armed_for_)
    Arm();
}

}  // namespace jujubecove
