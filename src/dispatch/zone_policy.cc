#include "dispatch/zone_policy.h"

#include <algorithm>
#include <utility>

namespace jujubecove {
namespace {

// Time from the end of an evacuation until a zone gets its whole share. Longer
// than searchers usually take to warm up.
constexpr Duration kReturnTime = std::chrono::seconds(5);
// Share at the beginning of that time.
constexpr double kFirstShare = 0.05;

bool Names(const std::vector<RegionName>* regions, const RegionName& region) {
  return regions == nullptr || regions->empty() ||
         std::find(regions->begin(), regions->end(), region) != regions->end();
}

}  // namespace

bool RegionLimit::AllowsAll() const {
  return (route_ == nullptr || route_->empty()) &&
         (workspace_ == nullptr || workspace_->empty());
}

bool RegionLimit::Allows(const RegionName& region) const {
  return Names(route_, region) && Names(workspace_, region);
}

void ZonePolicy::SetEvacuated(const ZoneName& zone,
                              bool evacuated,
                              TimePoint now) {
  std::erase_if(evacuations_, [now](const auto& it) {
    return !it.second.active && now - it.second.ended_at >= kReturnTime;
  });
  if (evacuated)
    evacuations_[zone] = Evacuation{};
  else if (IsEvacuated(zone))
    evacuations_[zone] = Evacuation{false, now};
}

bool ZonePolicy::IsEvacuated(const ZoneName& zone) const {
  if (evacuations_.empty())
    return false;
  auto it = evacuations_.find(zone);
  return it != evacuations_.end() && it->second.active;
}

bool ZonePolicy::IsInRegions(const ZoneName& zone,
                             const RegionLimit& limit) const {
  if (limit.AllowsAll() || !knows_regions())
    return true;
  auto it = regions_.find(zone);
  return it != regions_.end() && limit.Allows(it->second);
}

double ZonePolicy::ShareOf(const ZoneName& zone, TimePoint now) const {
  if (evacuations_.empty())
    return 1.0;
  auto it = evacuations_.find(zone);
  if (it == evacuations_.end())
    return 1.0;
  if (it->second.active)
    return 0.0;
  double progress =
      ToMilliseconds(now - it->second.ended_at) / ToMilliseconds(kReturnTime);
  return std::clamp(kFirstShare + (1.0 - kFirstShare) * progress, kFirstShare,
                    1.0);
}

int ZonePolicy::evacuated_count() const {
  return static_cast<int>(
      std::count_if(evacuations_.begin(), evacuations_.end(),
                    [](const auto& it) { return it.second.active; }));
}

}  // namespace jujubecove
