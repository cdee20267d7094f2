#include "config/zone_relay.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace jujubecove {
namespace {

// Addresses that a zone's record names; the counts stand for the rest.
constexpr std::size_t kMaxWaitingNamed = 8;
constexpr std::size_t kMaxRejectionBytes = 500;

bool IsFinished(const ZoneRecord& record) {
  return record.live > 0 && record.active == record.live;
}

// Whether a record says more than the one that is stored. Relays that know less
// never overwrite what another has reported of the same version.
bool Advances(const ZoneRecord& record, const ZoneRecord& stored) {
  if (record.version != stored.version)
    return record.version > stored.version;
  auto progress = [](const ZoneRecord& it) {
    return std::make_tuple(IsFinished(it), it.all_staged(),
                           !it.rejection.empty(), it.least_active, it.active,
                           it.staged);
  };
  return progress(record) > progress(stored);
}

}  // namespace

ZoneRelay::ZoneRelay(TimerService& timers,
                     Store& store,
                     Membership& membership,
                     StateLookup states,
                     ZoneRelayOptions options)
    : timers_(timers),
      store_(store),
      membership_(membership),
      states_(std::move(states)),
      options_(options) {}

ZoneRelay::~ZoneRelay() {
  timers_.Cancel(timer_);
}

void ZoneRelay::SetSubject(ConfigVersion version,
                           std::uint64_t hash,
                           bool in_force) {
  if (std::make_pair(version, in_force) <= std::make_pair(version_, in_force_))
    return;
  version_ = version;
  hash_ = hash;
  in_force_ = in_force;
  subject_since_ = timers_.Now();
  Update();
}

std::vector<wire::Member> ZoneRelay::Relays() {
  std::string key = (in_force_ ? "config-in-force " : "config-staged ") +
                    std::to_string(version_.value());
  return membership_.Choose(membership_.self().zone, key, options_.relays);
}

std::size_t ZoneRelay::Rank() {
  std::vector<wire::Member> relays = Relays();
  for (std::size_t n = 0; n < relays.size(); ++n) {
    if (relays[n].incarnation == membership_.self().incarnation)
      return n;
  }
  return options_.relays;
}

ZoneRecord ZoneRelay::Collect() const {
  ZoneRecord record;
  record.version = version_;
  record.hash = hash_;
  record.least_active = ConfigVersion(~std::uint64_t{0});
  std::int64_t version = static_cast<std::int64_t>(version_.value());
  for (const wire::Member& member : membership_.live()) {
    if (member.zone != membership_.self().zone)
      continue;
    ++record.live;
    const wire::ConfigState* state = states_(member.incarnation);
    bool active = state != nullptr && state->active_version >= version;
    bool staged =
        state != nullptr && state->proposed_version == version && state->staged;
    record.active += active ? 1 : 0;
    record.staged += active || staged ? 1 : 0;
    if (!active && !staged && record.waiting.size() < kMaxWaitingNamed)
      record.waiting.push_back(member.address);
    if (state != nullptr && state->proposed_version == version && !active &&
        !state->rejection.empty() && record.rejection.empty())
      record.rejection = member.address + ": " +
                         state->rejection.substr(0, kMaxRejectionBytes);
    ConfigVersion in_force(
        state == nullptr ? 0
                         : static_cast<std::uint64_t>(state->active_version));
    record.least_active = std::min(record.least_active, in_force);
  }
  return record;
}

void ZoneRelay::Update() {
  if (version_ != ConfigVersion())
    EvaluateAfter(Duration());
}

void ZoneRelay::EvaluateAfter(Duration delay) {
  TimePoint due = timers_.Now() + delay;
  if (timer_due_ <= due)
    return;
  timers_.Cancel(timer_);
  timer_due_ = due;
  timer_ = timers_.ScheduleAt(due, [this] {
    timer_due_ = TimePoint::max();
    Evaluate();
  });
}

void ZoneRelay::Evaluate() {
  std::size_t rank = Rank();
  if (busy_ || rank >= options_.relays)
    return;
  ZoneRecord record = Collect();
  TimePoint now = timers_.Now();
  if (known_ && !Advances(record, stored_))
    return;
  bool worth_telling =
      record.all_staged() || IsFinished(record) || !record.rejection.empty();
  TimePoint due = last_write_;
  if (!worth_telling)
    due = std::max(last_write_, subject_since_) + options_.write_interval;
  if (rank > 0)
    due = std::max(due, subject_since_ + options_.second_delay);
  if (now < due) {
    EvaluateAfter(due - now);
    return;
  }
  busy_ = true;
  // The second relay looks at what the first has written before it writes.
  if (!known_ || rank > 0)
    ReadCurrent();
  else
    Write(record);
}

void ZoneRelay::ReadCurrent() {
  std::weak_ptr<bool> alive = alive_;
  store_.Read(ZoneKey(membership_.self().zone),
              [this, alive](const StoreReply& reply) {
                if (alive.expired())
                  return;
                busy_ = false;
                if (reply.status != StoreStatus::kDone &&
                    reply.status != StoreStatus::kNotFound) {
                  EvaluateAfter(options_.retry);
                  return;
                }
                known_ = true;
                revision_ = reply.revision;
                stored_ = ParseZoneRecord(reply.value).value_or(ZoneRecord());
                ZoneRecord record = Collect();
                if (!Advances(record, stored_) || Rank() >= options_.relays)
                  return;
                busy_ = true;
                Write(record);
              });
}

void ZoneRelay::Write(const ZoneRecord& record) {
  last_write_ = timers_.Now();
  std::weak_ptr<bool> alive = alive_;
  store_.CompareAndSwap(
      ZoneKey(membership_.self().zone), revision_, FormatRecord(record),
      [this, alive, record](const StoreReply& reply) {
        if (alive.expired())
          return;
        busy_ = false;
        if (reply.status == StoreStatus::kDone) {
          revision_ = reply.revision;
          stored_ = record;
          // Anything that changed meanwhile.
          EvaluateAfter(Duration());
          return;
        }
        // Another relay wrote, or the outcome is unknown: read before writing.
        known_ = false;
        EvaluateAfter(reply.status == StoreStatus::kConflict ? Duration()
                                                             : options_.retry);
      });
}

}  // namespace jujubecove
