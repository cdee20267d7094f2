#pragma once

#include <memory>
#include <span>
#include <string>
#include <vector>

#include "base/random.h"
#include "dispatch/fleet_retry_budget.h"
#include "dispatch/route_latency.h"
#include "dispatch/searcher_health.h"

namespace jujubecove {

// A searcher with what is known of it.
struct PooledSearcher {
  SearcherEntry entry;
  SearcherHealth health;
};

using PooledSearcherPtr = std::shared_ptr<PooledSearcher>;

// The searchers of one service that may be given new requests.
class ServicePool {
 public:
  ServicePool(ServiceName name,
              ZoneName own_zone,
              const RetryBudgetOptions& budget,
              TimePoint process_start)
      : name_(std::move(name)),
        own_zone_(std::move(own_zone)),
        budget_(budget, process_start) {}

  void Add(PooledSearcherPtr searcher);
  void Remove(const InstanceId& id);
  // Null when it is not in use.
  PooledSearcherPtr Find(const InstanceId& id) const;

  // The searcher from which a reply is expected first, leaving out `tried`;
  // null when none is left.
  PooledSearcherPtr Select(std::span<const PooledSearcherPtr> tried,
                           const RouteLatency& latency,
                           TimePoint now,
                           RandomEngine& random) const;

  const ServiceName& name() const { return name_; }
  bool empty() const { return searchers_.empty(); }
  const std::vector<PooledSearcherPtr>& searchers() const { return searchers_; }
  FleetRetryBudget& budget() { return budget_; }

 private:
  ServiceName name_;
  ZoneName own_zone_;
  std::vector<PooledSearcherPtr> searchers_;
  FleetRetryBudget budget_;
};

}  // namespace jujubecove
