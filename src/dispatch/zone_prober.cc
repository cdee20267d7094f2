#include "dispatch/zone_prober.h"

#include <algorithm>
#include <utility>

namespace jujubecove {
namespace {

constexpr Duration kCheckInterval = std::chrono::milliseconds(250);
// Without a reply from another zone for this time, one of them is probed.
constexpr Duration kIdleTime = std::chrono::milliseconds(500);
// The same for each zone while another one is unreachable.
constexpr Duration kQuietTime = std::chrono::milliseconds(500);
// As many as ZoneReachability needs, and one that may be down.
constexpr std::size_t kProbesAfterFailure = 4;

}  // namespace

ZoneProber::ZoneProber(TimerService& timers,
                       SearcherTransport& transport,
                       ZoneReachability& zones,
                       RandomEngine& random,
                       SearcherLister searchers_of)
    : timers_(timers),
      transport_(transport),
      zones_(zones),
      random_(random),
      searchers_of_(std::move(searchers_of)) {}

void ZoneProber::Start() {
  timers_.ScheduleAfter(kCheckInterval, [this] { Check(); });
}

void ZoneProber::Check() {
  TimePoint now = timers_.Now();
  bool partitioned = zones_.unreachable_count() > 0;
  for (const ZoneName& it : zones_.OtherZones()) {
    bool silent = now - zones_.last_reply(it) >= kQuietTime;
    if (!zones_.IsReachable(it))
      ProbeZone(it, 1, false);
    else if (partitioned && silent)
      ProbeZone(it, 1, true);
  }
  if (!partitioned)
    ProbeIfIdle(now);
  timers_.ScheduleAfter(kCheckInterval, [this] { Check(); });
}

void ZoneProber::ProbeIfIdle(TimePoint now) {
  std::vector<ZoneName> others = zones_.OtherZones();
  TimePoint last_sign = last_idle_probe_;
  for (const ZoneName& it : others)
    last_sign = std::max(last_sign, zones_.last_reply(it));
  if (others.empty() || now - last_sign < kIdleTime)
    return;
  last_idle_probe_ = now;
  std::uniform_int_distribution<std::size_t> any(0, others.size() - 1);
  ProbeZone(others[any(random_)], 1, true);
}

void ZoneProber::ProbeZone(const ZoneName& zone,
                           std::size_t count,
                           bool escalate) {
  std::vector<SearcherEntry> searchers = searchers_of_(zone);
  std::shuffle(searchers.begin(), searchers.end(), random_);
  searchers.resize(std::min(searchers.size(), count));
  for (const SearcherEntry& it : searchers)
    Probe(it, escalate);
}

void ZoneProber::Probe(const SearcherEntry& searcher, bool escalate) {
  TimePoint sent_at = timers_.Now();
  transport_.Probe(searcher, [this, zone = searcher.zone, id = searcher.id,
                              sent_at, escalate](bool opened) {
    TimePoint now = timers_.Now();
    if (opened) {
      zones_.OnReply(zone, now);
      return;
    }
    zones_.OnNoReply(zone, id, sent_at, now);
    if (escalate)
      ProbeZone(zone, kProbesAfterFailure, false);
  });
}

}  // namespace jujubecove
