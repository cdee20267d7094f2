#include "config/zone_watch.h"

#include <utility>

namespace jujubecove {
namespace {

// Short, because a watch whose reply is lost only ends with its time-out.
constexpr Duration kWatchTimeout(1'000'000);
constexpr Duration kPause(20'000);
constexpr Duration kRetry(200'000);

}  // namespace

ZoneWatch::ZoneWatch(TimerService& timers,
                     Store& store,
                     const std::string& zone,
                     ConfigVersion version)
    : timers_(timers), store_(store), key_(ZoneKey(zone)), version_(version) {
  Step();
}

ZoneWatch::~ZoneWatch() {
  timers_.Cancel(timer_);
}

void ZoneWatch::Step() {
  std::weak_ptr<bool> alive = alive_;
  Store::Handler handler = [this, alive](const StoreReply& reply) {
    if (!alive.expired())
      OnReply(reply);
  };
  if (read_due_)
    store_.Read(key_, std::move(handler));
  else
    store_.Watch(key_, revision_, kWatchTimeout, std::move(handler));
}

void ZoneWatch::OnReply(const StoreReply& reply) {
  bool answered = reply.status == StoreStatus::kDone ||
                  reply.status == StoreStatus::kNotFound;
  read_due_ = reply.status == StoreStatus::kCompacted || !answered;
  timer_ =
      timers_.ScheduleAfter(answered ? kPause : kRetry, [this] { Step(); });
  if (reply.status != StoreStatus::kDone || reply.revision <= revision_)
    return;
  revision_ = reply.revision;
  std::optional<ZoneRecord> record = ParseZoneRecord(reply.value);
  if (!record || record->version < version_)
    return;
  reached_ = true;
  record_ = std::move(*record);
  bool same = record_.version == version_;
  all_staged_ = all_staged_ || (same && record_.all_staged());
  in_force_ =
      in_force_ || (record_.live > 0 && record_.least_active >= version_);
}

}  // namespace jujubecove
