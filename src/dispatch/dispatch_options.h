#pragma once

#include <map>

#include "base/ids.h"
#include "base/units.h"
#include "dispatch/fleet_retry_budget.h"

namespace jujubecove {

// Settings of retries, hedges and deadlines.
struct DispatchOptions {
  ZoneName own_zone;
  // The region of each zone. Empty if the regions are not known.
  std::map<ZoneName, RegionName> zone_regions;
  RetryBudgetOptions retry_budget;
  // Network round trip between caller and daemon. Answers are due this much
  // before the route's target.
  Duration caller_round_trip = std::chrono::milliseconds(8);
  // Final answers are sent this much before the caller's deadline or the
  // route's timeout.
  Duration deadline_margin = std::chrono::milliseconds(20);
  // A scatter attempt is hedged once it takes longer than this quantile of the
  // route's recent latencies.
  double hedge_quantile = 0.9;
  // How long attempts may stay in flight after their request was answered or
  // their caller disconnected.
  Duration answered_grace = std::chrono::milliseconds(500);
  Duration abandoned_grace = std::chrono::milliseconds(250);
};

}  // namespace jujubecove
