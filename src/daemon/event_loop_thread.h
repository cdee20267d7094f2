#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <optional>
#include <string>
#include <thread>

#include "kernel/asio_timer_service.h"
#include "kernel/channel.h"
#include "telemetry/telemetry_channel.h"

namespace jujubecove {

// A bounded channel of tasks from one thread to another. TryPush fails when it
// is full.
using TaskChannel = Channel<std::function<void()>>;

// A thread that runs its own io_context and timers.
class EventLoopThread {
 public:
  explicit EventLoopThread(std::string name);
  // Stops and joins the thread.
  ~EventLoopThread();

  boost::asio::io_context& context() { return context_; }
  AsioTimerService& timers() { return timers_; }
  const std::string& name() const { return name_; }

  // `telemetry_channel` may be null, as it is for the telemetry thread itself.
  void Start(TelemetryChannel* telemetry_channel);
  // Stops the thread after the running handler, and joins it.
  void Stop();
  // Joins the thread when its context has no more work.
  void StopWhenIdle();

 private:
  std::string name_;
  boost::asio::io_context context_;
  AsioTimerService timers_;
  std::optional<
      boost::asio::executor_work_guard<boost::asio::io_context::executor_type>>
      work_guard_;
  std::thread thread_;
};

// Creates a channel whose tasks run on the consumer's thread.
std::unique_ptr<TaskChannel> MakeTaskChannel(boost::asio::io_context& consumer,
                                             std::size_t capacity);

}  // namespace jujubecove
