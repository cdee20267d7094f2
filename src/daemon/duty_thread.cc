#include "daemon/duty_thread.h"

#include <pthread.h>

#include <boost/asio/post.hpp>
#include <memory>
#include <utility>

namespace jujubecove {
namespace {

// One thread runs each context, so that asio needs no lock contention hints
// beyond this.
constexpr int kThreadsPerContext = 1;

}  // namespace

DutyThread::DutyThread(std::string name)
    : name_(std::move(name)),
      context_(kThreadsPerContext),
      timers_(context_),
      guard_(boost::asio::make_work_guard(context_)) {}

DutyThread::~DutyThread() {
  Stop();
}

void DutyThread::Start(TelemetryChannel* port) {
  thread_ = std::thread([this, port] {
    SetThisThreadTelemetryChannel(port);
    // Shown by tools such as top; the system cuts names at 15 characters.
    pthread_setname_np(pthread_self(), name_.substr(0, 15).c_str());
    context_.run();
  });
}

void DutyThread::Stop() {
  context_.stop();
  if (thread_.joinable())
    thread_.join();
}

void DutyThread::Finish() {
  guard_.reset();
  if (thread_.joinable())
    thread_.join();
}

std::unique_ptr<TaskRing> MakeTaskRing(boost::asio::io_context& consumer,
                                       std::size_t capacity) {
  std::unique_ptr<TaskRing> ring =
      std::make_unique<TaskRing>(consumer, capacity);
  ring->SetHandler([](std::function<void()> task) { task(); });
  return ring;
}

}  // namespace jujubecove
