#pragma once

#include "base/units.h"
#include "document/document.h"
#include "routing/latency_window.h"
#include "routing/outlier_ejection.h"
#include "routing/retry_budget.h"
#include "routing/shard_map_catalog.h"

namespace jujubecove {

// Routing state of one service, apart from its searchers.
struct ServiceRoutingState {
  ServiceSpec spec;
  bool in_document = false;
  ShardMapCatalog maps;
  LatencyWindow latency;
  RetryBudget retry_budget;
  ProbeBudget probe_budget;

  // The recent median, or the document's expected latency until there are
  // enough samples.
  Duration EstimatedLatency() const {
    return latency.HasEnoughSamples() ? latency.RecentMedian()
                                      : spec.expected_latency;
  }
};

}  // namespace jujubecove
