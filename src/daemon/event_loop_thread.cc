#include "daemon/event_loop_thread.h"

#include <pthread.h>

#include <boost/asio/post.hpp>
#include <memory>
#include <utility>

namespace jujubecove {
namespace {

// A single thread runs each io_context.
constexpr int kConcurrencyHint = 1;

}  // namespace

EventLoopThread::EventLoopThread(std::string name)
    : name_(std::move(name)),
      context_(kConcurrencyHint),
      timers_(context_),
      work_guard_(boost::asio::make_work_guard(context_)) {}

EventLoopThread::~EventLoopThread() {
  Stop();
}

void EventLoopThread::Start(TelemetryChannel* telemetry_channel) {
  thread_ = std::thread([this, telemetry_channel] {
    SetThisThreadTelemetryChannel(telemetry_channel);
    // Shown by tools such as top; Linux limits names to 15 characters.
    pthread_setname_np(pthread_self(), name_.substr(0, 15).c_str());
    context_.run();
  });
}

void EventLoopThread::Stop() {
  context_.stop();
  if (thread_.joinable())
    thread_.join();
}

void EventLoopThread::StopWhenIdle() {
  work_guard_.reset();
  if (thread_.joinable())
    thread_.join();
}

std::unique_ptr<TaskChannel> MakeTaskChannel(boost::asio::io_context& consumer,
                                             std::size_t capacity) {
  std::unique_ptr<TaskChannel> channel =
      std::make_unique<TaskChannel>(consumer, capacity);
  channel->SetHandler([](std::function<void()> task) { task(); });
  return channel;
}

}  // namespace jujubecove
