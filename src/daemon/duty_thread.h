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

// A ring of calls from one thread to another. A full ring refuses.
using TaskRing = Channel<std::function<void()>>;

// A thread for one duty with its io_context and its timers.
class DutyThread {
 public:
  explicit DutyThread(std::string name);
  // Stops and joins.
  ~DutyThread();

  boost::asio::io_context& context() { return context_; }
  AsioTimerService& timers() { return timers_; }
  const std::string& name() const { return name_; }

  // `port` may be null for the telemetry thread itself.
  void Start(TelemetryChannel* port);
  // Ends the thread after the handler that is running.
  void Stop();
  // Ends the thread when its context has run out of work.
  void Finish();

 private:
  std::string name_;
  boost::asio::io_context context_;
  AsioTimerService timers_;
  std::optional<
      boost::asio::executor_work_guard<boost::asio::io_context::executor_type>>
      guard_;
  std::thread thread_;
};

// A ring whose messages are calls to run.
std::unique_ptr<TaskRing> MakeTaskRing(boost::asio::io_context& consumer,
                                       std::size_t capacity);

}  // namespace jujubecove
