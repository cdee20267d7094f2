#include "routing/connection_shares.h"

#include <algorithm>

namespace jujubecove {

void ConnectionShares::SetDaemons(const std::vector<EntryDaemon>& daemons) {
  std::map<ZoneName, std::set<VmId>> live;
  for (const EntryDaemon& daemon : daemons) {
    for (const ZoneName& zone : daemon.reachable)
      live[zone].insert(daemon.id);
  }
  for (auto& [name, zone] : zones_)
    live.try_emplace(name);
  for (auto& [name, ids] : live)
    Update(zones_[name], std::move(ids));
}

void ConnectionShares::Update(Zone& zone, std::set<VmId> live) {
  TimePoint now = timers_.Now();
  if (live.contains(self_) && !zone.live.contains(self_)) {
    zone.joined = now;
    zone.acknowledged = false;
    zone.awaited.clear();
    zone.answered.clear();
    zone.settled_peer = false;
  }
  std::erase_if(zone.gone,
                [this](const auto& it) { return !IsCounted(it.second); });
  std::erase_if(zone.history, [this, now](const auto& it) {
    return now - it.first > delays_.spread;
  });
  std::size_t least = LeastLiveCount(zone);
  for (const VmId& id : zone.live) {
    if (!live.contains(id))
      zone.gone[id] = Gone{now, least};
  }
  for (const VmId& id : live)
    zone.gone.erase(id);
  if (live.size() != zone.live.size())
    zone.history.emplace_back(now, zone.live.size());
  zone.live = std::move(live);
}

std::size_t ConnectionShares::LeastLiveCount(const Zone& zone) const {
  std::size_t least = std::max<std::size_t>(zone.live.size(), 1);
  for (const auto& [until, count] : zone.history) {
    // Peers may have computed their shares by a list that was older than this
    // daemon's.
    if (timers_.Now() - until <= delays_.spread && count > 0)
      least = std::min(least, count);
  }
  return least;
}

bool ConnectionShares::IsCounted(const Gone& gone) const {
  return timers_.Now() - gone.last_seen <= delays_.hold();
}

void ConnectionShares::OnAcknowledged(
    const ZoneName& zone_name,
    const ShareAcknowledgement& acknowledgement) {
  auto it = zones_.find(zone_name);
  if (it == zones_.end() || IsSettled(it->second))
    return;
  Zone& zone = it->second;
  TimePoint now = timers_.Now();
  zone.answered.insert(acknowledgement.peer);
  zone.settled_peer = zone.settled_peer || acknowledgement.settled;
  for (const ShareAcknowledgement::Gone& gone : acknowledgement.gone) {
    if (!zone.live.contains(gone.id))
      zone.gone.try_emplace(gone.id, Gone{now, gone.live_count});
  }
  // Another daemon may have joined that this one's list does not name yet. It
  // has to count this daemon too.
  for (const VmId& id : acknowledgement.live) {
    if (zone.live.contains(id))
      continue;
    zone.awaited.insert(id);
    zone.gone.try_emplace(id, Gone{now, LeastLiveCount(zone)});
  }
  auto answered = [this, &zone](const VmId& id) {
    return id == self_ || zone.answered.contains(id);
  };
  // Without a settled peer that knows all who join, two groups that start at
  // the same time could each believe to be alone.
  zone.acknowledged =
      zone.settled_peer &&
      std::all_of(zone.live.begin(), zone.live.end(), answered) &&
      std::all_of(zone.awaited.begin(), zone.awaited.end(), answered);
}

bool ConnectionShares::Counts(const ZoneName& zone, const VmId& joining) const {
  auto it = zones_.find(zone);
  return it != zones_.end() && it->second.live.contains(joining);
}

ShareAcknowledgement ConnectionShares::Acknowledge(const ZoneName& zone) const {
  ShareAcknowledgement acknowledgement;
  acknowledgement.peer = self_;
  auto it = zones_.find(zone);
  if (it == zones_.end())
    return acknowledgement;
  acknowledgement.settled = IsSettled(it->second);
  acknowledgement.live.assign(it->second.live.begin(), it->second.live.end());
  for (const auto& [id, gone] : it->second.gone) {
    if (IsCounted(gone))
      acknowledgement.gone.push_back({id, gone.live_count});
  }
  return acknowledgement;
}

bool ConnectionShares::IsSettled(const Zone& zone) const {
  return zone.live.contains(self_) &&
         (zone.acknowledged || timers_.Now() - zone.joined > delays_.hold());
}

bool ConnectionShares::IsSettled(const ZoneName& zone) const {
  auto it = zones_.find(zone);
  return it != zones_.end() && IsSettled(it->second);
}

std::uint32_t ConnectionShares::ShareOf(const ZoneName& zone_name,
                                        std::uint32_t limit) const {
  auto it = zones_.find(zone_name);
  if (it == zones_.end() || !IsSettled(it->second))
    return 1;
  const Zone& zone = it->second;
  std::size_t gone_count = 0;
  std::size_t gone_connections = 0;
  for (const auto& [id, gone] : zone.gone) {
    if (!IsCounted(gone))
      continue;
    ++gone_count;
    gone_connections += limit / (gone.live_count + 1);
  }
  std::size_t left = limit - std::min<std::size_t>(limit, gone_connections);
  // The first bound keeps a share from growing by the rounding when a daemon
  // goes; the second one covers that it may have held more than a present
  // share.
  std::size_t share = std::min(limit / (zone.live.size() + gone_count + 1),
                               left / (zone.live.size() + 1));
  return static_cast<std::uint32_t>(std::max<std::size_t>(share, 1));
}

}  // namespace jujubecove
