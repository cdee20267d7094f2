#pragma once

#include <functional>
#include <map>
#include <vector>

#include "base/ids.h"
#include "base/units.h"
#include "discovery/searcher_entry.h"

namespace jujubecove {

// Infers from the outcomes of attempts which availability zones this VM can't
// reach, so that not every searcher behind a partition has to be tried before
// it is avoided. A zone counts as unreachable when several of its searchers
// have not answered and none of its searchers has answered since the attempts
// at them were sent. Any reply from the zone ends that.
class ZoneReachability {
 public:
  using Listener = std::function<void(const ZoneName& zone, bool reachable)>;

  explicit ZoneReachability(ZoneName own_zone)
      : own_zone_(std::move(own_zone)) {}

  // Called when a zone becomes unreachable or reachable.
  void SetListener(Listener listener) { listener_ = std::move(listener); }

  // The searchers in use. Zones without any do not count.
  void AddSearcher(const ZoneName& zone) { ++zones_[zone].searchers; }
  void RemoveSearcher(const ZoneName& zone);

  // A searcher of the zone answered anything.
  void OnReply(const ZoneName& zone, TimePoint now);
  // An attempt got no reply: connecting failed, or it was cancelled although it
  // was long overdue.
  void OnNoReply(const ZoneName& zone,
                 const InstanceId& searcher,
                 TimePoint sent_at,
                 TimePoint now);

  bool IsReachable(const ZoneName& zone) const;
  // Whether at least two other zones have searchers and none of these zones can
  // be reached, so that this VM and not the zones is cut off.
  bool IsIsolated() const;
  int unreachable_count() const { return unreachable_count_; }
  // The zones with searchers, without the own one.
  std::vector<ZoneName> OtherZones() const;
  TimePoint last_reply(const ZoneName& zone) const;

 private:
  struct Zone {
    int searchers = 0;
    bool reachable = true;
    TimePoint last_reply{};
    // Searchers that did not answer, with the time when that was noticed.
    std::map<InstanceId, TimePoint> silent;
  };

  void SetReachable(const ZoneName& name, Zone& zone, bool reachable);

  ZoneName own_zone_;
  Listener listener_;
  std::map<ZoneName, Zone> zones_;
  int unreachable_count_ = 0;
};

}  // namespace jujubecove
