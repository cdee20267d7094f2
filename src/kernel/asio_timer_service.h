#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <unordered_map>
#include <utility>

#include "kernel/timer_service.h"

namespace jujubecove {

// The timer service of a thread that runs an io_context. All callbacks share
// one asio timer, so scheduling is a map insertion and rarely needs to rearm
// the timer.
class AsioTimerService : public TimerService {
 public:
  explicit AsioTimerService(boost::asio::io_context& context);

  TimePoint Now() const override;
  TimePoint NowWithSuspension() const override;
  TimerId ScheduleAt(TimePoint when, std::function<void()> callback) override;
  void Cancel(TimerId id) override;

 private:
  using Key = std::pair<TimePoint, std::uint64_t>;

  void ArmTimer();
  void RunDueCallbacks();

  boost::asio::steady_timer timer_;
  TimePoint timer_expiry_ = TimePoint::max();
  std::uint64_t next_id_ = 1;
  std::map<Key, std::function<void()>> callbacks_;
  std::unordered_map<std::uint64_t, TimePoint> due_times_;
};

}  // namespace jujubecove
