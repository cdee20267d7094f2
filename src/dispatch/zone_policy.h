#pragma once

#include <map>
#include <vector>

#include "base/ids.h"
#include "base/units.h"

namespace jujubecove {

// The regions in which a request may be handled: those that both its route and
// its workspace allow, where each allows all regions if it names none. Refers
// to lists that the route table holds.
class RegionLimit {
 public:
  RegionLimit() = default;
  RegionLimit(const std::vector<RegionName>& route,
              const std::vector<RegionName>* workspace)
      : route_(&route), workspace_(workspace) {}

  bool AllowsAll() const;
  bool Allows(const RegionName& region) const;

 private:
  const std::vector<RegionName>* route_ = nullptr;
  const std::vector<RegionName>* workspace_ = nullptr;
};

// Decides which availability zones may be sent requests. An evacuated zone gets
// none. When its evacuation ends, its share of the requests grows gradually,
// which answers the load of a whole zone's requests that return at once to
// searchers whose caches have become cold. A request with a limit of regions is
// sent only to zones that are known to be in one of them.
class ZonePolicy {
 public:
  using RegionMap = std::map<ZoneName, RegionName>;

  // An empty map means that the regions are not known. Limits of regions are
  // then not applied.
  void SetRegions(RegionMap regions) { regions_ = std::move(regions); }
  bool knows_regions() const { return !regions_.empty(); }
  void SetEvacuated(const ZoneName& zone, bool evacuated, TimePoint now);

  bool IsEvacuated(const ZoneName& zone) const;
  bool IsInRegions(const ZoneName& zone, const RegionLimit& limit) const;
  bool Allows(const ZoneName& zone, const RegionLimit& limit) const {
    return !IsEvacuated(zone) && IsInRegions(zone, limit);
  }
  // The share, 0 to 1, of the requests that the zone would get otherwise and
  // may be sent now.
  double ShareOf(const ZoneName& zone, TimePoint now) const;
  int evacuated_count() const;

 private:
  struct Evacuation {
    bool active = true;
    TimePoint ended_at{};
  };

  RegionMap regions_;
  // Zones that are evacuated or that were.
  std::map<ZoneName, Evacuation> evacuations_;
};

}  // namespace jujubecove
