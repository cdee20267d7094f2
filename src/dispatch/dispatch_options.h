#pragma once

#include "base/ids.h"
#include "base/units.h"
#include "dispatch/fleet_retry_budget.h"

namespace jujubecove {

// Bounds and weights of the decisions about requests.
struct DispatchOptions {
  ZoneName own_zone;
  RetryBudgetOptions retry_budget;
  // Time that an answer needs from here to the caller and a request needed to
  // get here. Answers are due this much before the route's target.
  Duration caller_round_trip = std::chrono::milliseconds(8);
  // Final answers are sent this much before the caller's deadline or the
  // route's timeout.
  Duration deadline_margin = std::chrono::milliseconds(20);
  // Replies slower than this share of the route's recent replies are hedged.
  double hedge_quantile = 0.9;
  // How long attempts may go on after their request was answered, and after
  // their caller has left.
  Duration answered_grace = std::chrono::milliseconds(500);
  Duration abandoned_grace = std::chrono::milliseconds(250);
};

}  // namespace jujubecove
