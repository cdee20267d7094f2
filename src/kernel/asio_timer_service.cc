#include "kernel/asio_timer_service.h"

#include <boost/system/error_code.hpp>
#include <chrono>
#include <ctime>

namespace jujubecove {

AsioTimerService::AsioTimerService(boost::asio::io_context& context)
    : timer_(context) {}

TimePoint AsioTimerService::Now() const {
  std::chrono::steady_clock::duration elapsed =
      std::chrono::steady_clock::now().time_since_epoch();
  return TimePoint(std::chrono::duration_cast<Duration>(elapsed));
}

TimePoint AsioTimerService::NowWithSuspension() const {
  timespec time{};
  if (clock_gettime(CLOCK_BOOTTIME, &time) != 0)
    return Now();
  return TimePoint(std::chrono::duration_cast<Duration>(
      std::chrono::seconds(time.tv_sec) +
      std::chrono::nanoseconds(time.tv_nsec)));
}

TimerId AsioTimerService::ScheduleAt(TimePoint when,
                                     std::function<void()> callback) {
  std::uint64_t id = next_id_++;
  callbacks_.emplace(Key(when, id), std::move(callback));
  due_times_.emplace(id, when);
  if (when < timer_expiry_)
    ArmTimer();
  return TimerId(id);
}

void AsioTimerService::Cancel(TimerId id) {
  auto it = due_times_.find(id.value());
  if (it == due_times_.end())
    return;
  callbacks_.erase(Key(it->second, id.value()));
  due_times_.erase(it);
}

// Cancel() leaves the timer armed, because one needless wake-up is cheaper than
// rearming on every cancellation.
void AsioTimerService::ArmTimer() {
  timer_expiry_ = callbacks_.begin()->first.first;
  timer_.expires_at(
      std::chrono::steady_clock::time_point(timer_expiry_.time_since_epoch()));
  timer_.async_wait([this](const boost::system::error_code& ec) {
    if (!ec)
      RunDueCallbacks();
  });
}

void AsioTimerService::RunDueCallbacks() {
  timer_expiry_ = TimePoint::max();
  TimePoint now = Now();
  while (!callbacks_.empty() && callbacks_.begin()->first.first <= now) {
    auto it = callbacks_.begin();
    std::function<void()> callback = std::move(it->second);
    due_times_.erase(it->first.second);
    callbacks_.erase(it);
    callback();
  }
  if (!callbacks_.empty() && callbacks_.begin()->first.first < timer_expiry_)
    ArmTimer();
}

}  // namespace jujubecove
