#pragma once

#include "base/units.h"
#include "document/document.h"
#include "routing/latency_window.h"
#include "routing/outlier_ejection.h"
#include "routing/retry_budget.h"
#include "routing/shard_map_catalog.h"

namespace jujubecove {

// What routing keeps for one service besides its searchers.
struct ServiceState {
  ServiceSpec spec;
  bool declared = false;
  ShardMapCatalog maps;
  LatencyWindow latency;
  RetryBudget repeats;
  ProbeBudget probes;

  // The recent median, or what the document states until there is one.
  Duration EstimatedLatency() const {
    return latency.HasEnough() ? latency.RecentMedian() : spec.expected_latency;
  }
};

}  // namespace jujubecove
