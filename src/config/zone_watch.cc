#include "config/zone_watch.h"

#include <optional>
#include <utility>

namespace jujubecove {
namespace {

// Reads overlap instead of waiting for each other, so that a lost reply costs
// one interval and not a time-out. With 32 zones this makes 160 reads a second
// while a change is under way.
constexpr Duration kReadInterval(200'000);

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
  store_.Read(key_, [this, alive](const StoreReply& reply) {
    if (!alive.expired())
      OnReply(reply);
  });
  timer_ = timers_.ScheduleAfter(kReadInterval, [this] { Step(); });
}

void ZoneWatch::OnReply(const StoreReply& reply) {
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
