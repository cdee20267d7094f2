#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "base/ids.h"
#include "base/units.h"
#include "kernel/timer_service.h"

namespace jujubecove {

// An entry daemon that counts as live.
struct EntryDaemon {
  VmId id;
  // Zones whose searchers it can reach.
  std::vector<ZoneName> reachable;
};

// Bounds on delays. While they hold, the connections of all daemons stay within
// a searcher's limit.
struct ShareDelays {
  // From a change of the live daemons until every live daemon knows of it and
  // has closed its connections above a smaller share.
  Duration spread{3'000'000};
  // From a daemon's death, or the loss of its way to a zone, until its
  // connections are gone at the searchers.
  Duration linger{2'000'000};

  // How long a daemon that is not live any more is still counted.
  Duration hold() const { return spread + linger; }
};

// A peer's statement that it counts a joining daemon and has closed its
// connections above its smaller share.
struct ShareAcknowledgement {
  struct Gone {
    VmId id;
    // Least number of live daemons by which its share can have been computed.
    std::size_t live_count = 0;
  };

  VmId peer;
  bool settled = false;
  std::vector<VmId> live;
  // Not live any more, but possibly with open connections.
  std::vector<Gone> gone;
};

// This daemon's share of the connections that a searcher accepts. A share
// shrinks as soon as another daemon is known, and grows only when a daemon that
// left can hold no connection any more. A joining daemon has 1 connection until
// its peers count it.
class ConnectionShares {
 public:
  ConnectionShares(TimerService& timers, VmId self, ShareDelays delays = {})
      : timers_(timers), self_(std::move(self)), delays_(delays) {}

  // All live daemons, with this one among them.
  void SetDaemons(const std::vector<EntryDaemon>& daemons);
  // An answer to this joining daemon.
  void OnAcknowledged(const ZoneName& zone,
                      const ShareAcknowledgement& acknowledgement);
  // Whether a joining daemon is counted here.
  bool Counts(const ZoneName& zone, const VmId& joining) const;
  // The answer to a joining daemon. May be given only when the daemon is
  // counted and the connections are within the share.
  ShareAcknowledgement Acknowledge(const ZoneName& zone) const;

  // Connections that this daemon may hold to a searcher of the zone that
  // accepts `limit`.
  std::uint32_t ShareOf(const ZoneName& zone, std::uint32_t limit) const;
  // Whether all others count this daemon, so that it uses its full share.
  bool IsSettled(const ZoneName& zone) const;

 private:
  struct Gone {
    TimePoint last_seen;
    std::size_t live_count = 0;
  };
  struct Zone {
    std::set<VmId> live;
    std::map<VmId, Gone> gone;
    // Earlier numbers of live daemons, with the time until which they held.
    std::deque<std::pair<TimePoint, std::size_t>> history;
    // The state of this daemon's own joining.
    TimePoint joined;
    bool acknowledged = false;
    std::set<VmId> awaited;
    std::set<VmId> answered;
    bool settled_peer = false;
  };

  void Update(Zone& zone, std::set<VmId> live);
  std::size_t LeastLiveCount(const Zone& zone) const;
  bool IsSettled(const Zone& zone) const;
  bool IsCounted(const Gone& gone) const;

  TimerService& timers_;
  VmId self_;
  ShareDelays delays_;
  std::map<ZoneName, Zone> zones_;
};

}  // namespace jujubecove
