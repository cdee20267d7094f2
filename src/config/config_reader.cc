#include "config/config_reader.h"

#include <algorithm>
#include <utility>

namespace jujubecove {

ConfigReader::ConfigReader(TimerService& timers,
                           Store& store,
                           Membership& membership,
                           std::string key,
                           ConfigReaderOptions options,
                           ValueHandler handler)
    : timers_(timers),
      store_(store),
      membership_(membership),
      key_(std::move(key)),
      options_(options),
      handler_(std::move(handler)) {}

ConfigReader::~ConfigReader() {
  timers_.Cancel(timer_);
}

void ConfigReader::Start() {
  Step();
}

void ConfigReader::StepAfter(Duration delay) {
  timer_ = timers_.ScheduleAfter(delay, [this] { Step(); });
}

void ConfigReader::Step() {
  // All keys share their readers, so that a reader sees them in step.
  if (!membership_.IsChosen("config-readers", options_.readers_per_zone)) {
    StepAfter(options_.check_interval);
    return;
  }
  std::weak_ptr<bool> alive = alive_;
  if (read_due_) {
    store_.Read(key_, [this, alive](const StoreReply& reply) {
      if (!alive.expired())
        OnReply(reply);
    });
    return;
  }
  store_.Watch(key_, revision_, options_.watch_timeout,
               [this, alive](const StoreReply& reply) {
                 if (!alive.expired())
                   OnReply(reply);
               });
}

void ConfigReader::OnReply(const StoreReply& reply) {
  switch (reply.status) {
    case StoreStatus::kDone:
    case StoreStatus::kNotFound:
      failures_ = 0;
      confirmed_ = true;
      read_due_ = false;
      break;
    case StoreStatus::kCompacted:
      read_due_ = true;
      break;
    default: {
      Duration delay = options_.first_retry * (1U << std::min(failures_, 10U));
      ++failures_;
      StepAfter(std::min(delay, options_.longest_retry));
      return;
    }
  }
  if (reply.status == StoreStatus::kDone && reply.revision > revision_) {
    revision_ = reply.revision;
    handler_(reply.value);
  }
  // Without a pause, a store that answers every watch at once would be asked in
  // a tight loop.
  StepAfter(options_.least_pause);
}

}  // namespace jujubecove
