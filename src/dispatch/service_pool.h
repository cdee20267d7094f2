#pragma once

#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "base/random.h"
#include "dispatch/fleet_retry_budget.h"
#include "dispatch/route_latency.h"
#include "dispatch/searcher_health.h"
#include "dispatch/zone_policy.h"
#include "dispatch/zone_reachability.h"

namespace jujubecove {

// A searcher of a pool with its registration and health.
struct PooledSearcher {
  SearcherEntry entry;
  SearcherHealth health;
};

using PooledSearcherPtr = std::shared_ptr<PooledSearcher>;

// The searchers of one service that accept new requests.
class ServicePool {
 public:
  ServicePool(ServiceName name,
              ZoneName own_zone,
              const ZoneReachability& zones,
              const ZonePolicy& policy,
              const SearcherTransport& transport,
              const RetryBudgetOptions& budget,
              TimePoint process_start)
      : name_(std::move(name)),
        own_zone_(std::move(own_zone)),
        zones_(zones),
        policy_(policy),
        transport_(transport),
        budget_(budget, process_start) {}

  void Add(PooledSearcherPtr searcher);
  void Remove(const InstanceId& id);
  // Null if it is not in the pool.
  PooledSearcherPtr Find(const InstanceId& id) const;

  // The available searcher with the lowest expected latency that is not in
  // `tried` and may be sent a request with this limit of regions, or null.
  // Opening a connection counts towards the latency.
  PooledSearcherPtr Select(std::span<const PooledSearcherPtr> tried,
                           const RouteLatency& latency,
                           TimePoint now,
                           RandomEngine& random,
                           const RegionLimit& limit = {}) const;

  // The following consider only searchers that may be sent a request with this
  // limit of regions.

  // The time until one of the searchers is available, zero if one is. Nothing
  // if there are none.
  std::optional<Duration> WaitUntilAvailable(
      TimePoint now,
      const RegionLimit& limit = {}) const;
  // Whether a searcher is in a zone that can be reached.
  bool HasReachable(const RegionLimit& limit = {}) const;
  // The lowest expected latency of the available searchers. Nothing if there
  // are none.
  std::optional<Duration> LowestExpectedLatency(
      const RouteLatency& latency,
      TimePoint now,
      const RegionLimit& limit = {}) const;
  // Why no searcher can be selected.
  std::string ReasonForNone(const RegionLimit& limit = {}) const;

  const ServiceName& name() const { return name_; }
  bool empty() const { return searchers_.empty(); }
  const std::vector<PooledSearcherPtr>& searchers() const { return searchers_; }
  FleetRetryBudget& budget() { return budget_; }

 private:
  ServiceName name_;
  ZoneName own_zone_;
  const ZoneReachability& zones_;
  const ZonePolicy& policy_;
  const SearcherTransport& transport_;
  std::vector<PooledSearcherPtr> searchers_;
  FleetRetryBudget budget_;
};

}  // namespace jujubecove
