#pragma once

#include <memory>
#include <string>
#include <unordered_map>

#include "discovery/searcher_registry.h"
#include "dispatch/request_run.h"
#include "dispatch/zone_prober.h"
#include "route/traffic_splitter.h"

namespace jujubecove {

// Routes callers' requests by the current configuration and starts their runs.
// Owns the state of searchers, services and routes.
class Dispatcher {
 public:
  using AnswerHandler = RequestRun::AnswerHandler;
  using RunPtr = std::shared_ptr<RequestRun>;

  Dispatcher(TimerService& timers,
             SearcherTransport& transport,
             DecisionLog& log,
             MetricsRegistry& registry,
             DispatchOptions options,
             std::uint64_t seed);

  // These changes apply to requests submitted later.
  void OnSearcherChange(SearcherChange change, const SearcherEntry& entry);
  void SetTable(RouteTablePtr table);
  void SetOptions(const DispatchOptions& options);
  // An evacuated zone gets no new attempts. Those that wait for a connection
  // there go elsewhere, those at its searchers finish.
  void SetZoneEvacuated(const ZoneName& zone, bool evacuated);
  // Number of entry daemons that share limits and budgets, this one included.
  void SetFleetSize(int size);

  // Called when a searcher says in a reply that it is leaving. It stays in use
  // until OnSearcherChange removes it.
  void SetLeavingHandler(AttemptLauncher::LeavingHandler handler) {
    launcher_.SetLeavingHandler(std::move(handler));
  }

  // Calls `done` exactly once, unless the returned run is abandoned. Returns
  // null if the request was answered at once.
  RunPtr Submit(ForwardedRequestPtr request, AnswerHandler done);
  // Within this time a request that is submitted now is nearly always answered,
  // unless it has to wait for a searcher.
  Duration EstimateAnswerTime(const ForwardedRequest& request) const;

  const RouteTablePtr& table() const { return table_; }
  std::size_t ready_searchers() const { return ready_searchers_; }
  int fleet_size() const { return fleet_size_; }
  int unreachable_zones() const { return zones_.unreachable_count(); }
  int evacuated_zones() const { return policy_.evacuated_count(); }
  // Whether this VM is cut off from the other availability zones and can't
  // serve all routes without them.
  bool IsImpaired() const;
  // The regions in which a workspace's requests on a route may be handled. The
  // route must belong to the current table.
  RegionLimit LimitOf(const Route& route,
                      const std::optional<WorkspaceName>& workspace) const;
  const ZonePolicy& zone_policy() const { return policy_; }

 private:
  // Logs that the configuration limits regions which this daemon does not know.
  void ReportUnknownRegions() const;
  std::shared_ptr<ServicePool> GetOrCreatePool(const ServiceName& name);
  std::shared_ptr<RouteLatency> GetOrCreateLatency(const Route& route);
  std::shared_ptr<RequestRun> MakeRun(RoutedRequest routed, AnswerHandler done);
  RunPtr RefuseUnrouted(const ForwardedRequest& request,
                        const AnswerHandler& done);
  void OnZoneChange(const ZoneName& zone, bool reachable);
  // Returns the attempts that wait for connections to the zone.
  void ReturnQueued(const ZoneName& zone, const std::string& reason);
  std::vector<SearcherEntry> SearchersOf(const ZoneName& zone) const;
  bool CanServe(const Route& route, bool reachable_only) const;
  void AddSearcher(const SearcherEntry& entry);
  void RemoveSearcher(const SearcherEntry& entry);
  // The earlier state of a searcher that still pushes back, or null.
  PooledSearcherPtr TakeFormer(const SearcherEntry& entry);
  void UpdateSearcher(const SearcherEntry& entry);
  void SetConnectionLimit(const SearcherEntry& entry);
  void ApplyConnectionLimits();

  TimerService& timers_;
  SearcherTransport& transport_;
  DecisionLog& log_;
  DispatchOptions options_;
  TimePoint process_start_;
  RandomEngine random_;
  DispatchMetrics metrics_;
  ZoneReachability zones_;
  ZonePolicy policy_;
  AttemptLauncher launcher_;
  RetryAdvice retry_advice_;
  ZoneProber prober_;
  RunContext context_;
  RouteTablePtr table_;
  TrafficSplitter splitter_;
  int fleet_size_ = 1;
  std::size_t ready_searchers_ = 0;
  std::unordered_map<ServiceName, std::shared_ptr<ServicePool>> pools_;
  // Searchers that were removed while they wanted no requests. One that comes
  // back before that time has passed still wants none.
  std::unordered_map<InstanceId, PooledSearcherPtr> former_;
  // By route name.
  std::unordered_map<std::string, std::shared_ptr<RouteLatency>> latencies_;
};

}  // namespace jujubecove
