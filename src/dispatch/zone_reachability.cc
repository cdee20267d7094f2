#include "dispatch/zone_reachability.h"

#include <algorithm>
#include <utility>

namespace jujubecove {
namespace {

// Fewer searchers can be down or paused at the same time by chance.
constexpr std::size_t kMinSilentSearchers = 3;
// How long a searcher that did not answer counts.
constexpr Duration kSilenceLifetime = std::chrono::seconds(3);
constexpr std::size_t kMinOtherZones = 2;

}  // namespace

void ZoneReachability::RemoveSearcher(const ZoneName& zone) {
  auto it = zones_.find(zone);
  if (it != zones_.end())
    --it->second.searchers;
}

void ZoneReachability::OnReply(const ZoneName& zone, TimePoint now) {
  Zone& state = zones_[zone];
  state.last_reply = now;
  state.silent.clear();
  SetReachable(zone, state, true);
}

void ZoneReachability::OnNoReply(const ZoneName& zone,
                                 const InstanceId& searcher,
                                 TimePoint sent_at,
                                 TimePoint now) {
  Zone& state = zones_[zone];
  if (sent_at <= state.last_reply)
    return;
  std::erase_if(state.silent, [now](const auto& it) {
    return now - it.second > kSilenceLifetime;
  });
  state.silent[searcher] = now;
  if (state.silent.size() >= kMinSilentSearchers)
    SetReachable(zone, state, false);
}

void ZoneReachability::SetReachable(const ZoneName& name,
                                    Zone& zone,
                                    bool reachable) {
  if (zone.reachable == reachable)
    return;
  zone.reachable = reachable;
  unreachable_count_ += reachable ? -1 : 1;
  if (listener_)
    listener_(name, reachable);
}

bool ZoneReachability::IsReachable(const ZoneName& zone) const {
  if (unreachable_count_ == 0)
    return true;
  auto it = zones_.find(zone);
  return it == zones_.end() || it->second.reachable;
}

TimePoint ZoneReachability::last_reply(const ZoneName& zone) const {
  auto it = zones_.find(zone);
  return it == zones_.end() ? TimePoint{} : it->second.last_reply;
}

std::vector<ZoneName> ZoneReachability::OtherZones() const {
  std::vector<ZoneName> others;
  for (const auto& [name, zone] : zones_) {
    if (name != own_zone_ && zone.searchers > 0)
      others.push_back(name);
  }
  return others;
}

bool ZoneReachability::IsIsolated() const {
  if (unreachable_count_ == 0)
    return false;
  std::vector<ZoneName> others = OtherZones();
  return others.size() >= kMinOtherZones &&
         std::none_of(others.begin(), others.end(),
                      [this](const ZoneName& it) { return IsReachable(it); });
}

}  // namespace jujubecove
