#include "dispatch/dispatcher.h"

#include <algorithm>
#include <utility>

#include "dispatch/scatter_run.h"
#include "dispatch/single_run.h"

namespace jujubecove {
namespace {

// Daemons that may join before the others know of them. Connections at every
// searcher are reserved for them.
constexpr int kReservedDaemons = 2;
// Concurrent requests of the whole fleet per slot of a searcher. More would
// only queue at the searcher, where they can't be reordered or dropped.
constexpr int kRequestsPerSlot = 2;
// Lower limit on one daemon's concurrent requests at a searcher in a small
// fleet, so that it can use free slots while other daemons are idle. In a large
// fleet they would overfill the searcher's queue.
constexpr int kMinRequestsPerSearcher = 2;
// Time in which a daemon that has just started reads the configuration.
constexpr Duration kStartupWait = std::chrono::milliseconds(300);
// Of a caller that gave no deadline.
constexpr Duration kDefaultDeadline = std::chrono::seconds(10);

}  // namespace

Dispatcher::Dispatcher(TimerService& timers,
                       SearcherTransport& transport,
                       DecisionLog& log,
                       MetricsRegistry& registry,
                       DispatchOptions options,
                       std::uint64_t seed)
    : timers_(timers),
      transport_(transport),
      log_(log),
      options_(std::move(options)),
      process_start_(timers.Now()),
      random_(seed),
      metrics_(registry),
      zones_(options_.own_zone),
      launcher_(timers, transport, zones_, metrics_),
      retry_advice_(random_),
      prober_(timers,
              transport,
              zones_,
              random_,
              [this](const ZoneName& zone) { return SearchersOf(zone); }),
      context_{timers_, launcher_, random_,  retry_advice_,
               zones_,  log_,      metrics_, options_} {
  policy_.SetRegions(options_.zone_regions);
  zones_.SetListener([this](const ZoneName& zone, bool reachable) {
    OnZoneChange(zone, reachable);
  });
  prober_.Start();
}

std::shared_ptr<ServicePool> Dispatcher::GetOrCreatePool(
    const ServiceName& name) {
  std::shared_ptr<ServicePool>& pool = pools_[name];
  if (!pool) {
    pool = std::make_shared<ServicePool>(name, options_.own_zone, zones_,
                                         policy_, transport_,
                                         options_.retry_budget, process_start_);
    pool->budget().set_fleet_size(fleet_size_);
  }
  return pool;
}

std::shared_ptr<RouteLatency> Dispatcher::GetOrCreateLatency(
    const Route& route) {
  std::shared_ptr<RouteLatency>& latency = latencies_[route.name];
  if (!latency)
    latency = std::make_shared<RouteLatency>(route.target_latency);
  return latency;
}

void Dispatcher::OnSearcherChange(SearcherChange change,
                                  const SearcherEntry& entry) {
  static constexpr std::array<const char*, 4> kEvents = {
      "searcher_added", "searcher_updated", "searcher_draining",
      "searcher_gone"};
  DecisionLine(log_, LogCategory::kMembership, DecisionPriority::kStateChange,
               kEvents[static_cast<std::size_t>(change)], timers_.Now())
      .Add("searcher", entry.id.value())
      .Add("service", entry.service.value())
      .Add("address", entry.address.ToString())
      .Add("heartbeat", entry.heartbeat);
  std::shared_ptr<ServicePool> pool = GetOrCreatePool(entry.service);
  switch (change) {
    case SearcherChange::kAdded:
      AddSearcher(entry);
      break;
    case SearcherChange::kUpdated:
      UpdateSearcher(entry);
      break;
    case SearcherChange::kDraining:
    case SearcherChange::kGone:
      RemoveSearcher(entry);
      break;
  }
}

void Dispatcher::AddSearcher(const SearcherEntry& entry) {
  std::shared_ptr<ServicePool> pool = GetOrCreatePool(entry.service);
  if (pool->Find(entry.id) == nullptr) {
    ++ready_searchers_;
    zones_.AddSearcher(entry.zone);
  }
  PooledSearcherPtr searcher = TakeFormer(entry);
  if (!searcher) {
    searcher = std::make_shared<PooledSearcher>(PooledSearcher{
        entry, SearcherHealth(entry.slots, timers_.Now() + entry.warmup_left)});
  }
  pool->Add(std::move(searcher));
  SetConnectionLimit(entry);
}

void Dispatcher::RemoveSearcher(const SearcherEntry& entry) {
  std::shared_ptr<ServicePool> pool = GetOrCreatePool(entry.service);
  PooledSearcherPtr searcher = pool->Find(entry.id);
  if (searcher) {
    --ready_searchers_;
    zones_.RemoveSearcher(searcher->entry.zone);
    TimePoint now = timers_.Now();
    std::erase_if(former_, [now](const auto& it) {
      return now >= it.second->health.pushed_back_until();
    });
    if (now < searcher->health.pushed_back_until())
      former_[entry.id] = searcher;
  }
  pool->Remove(entry.id);
  transport_.Retire(entry.id);
}

PooledSearcherPtr Dispatcher::TakeFormer(const SearcherEntry& entry) {
  auto node = former_.extract(entry.id);
  if (node.empty() || node.mapped()->entry.started_ms != entry.started_ms ||
      node.mapped()->entry.service != entry.service)
    return nullptr;
  node.mapped()->entry = entry;
  return node.mapped();
}

void Dispatcher::UpdateSearcher(const SearcherEntry& entry) {
  PooledSearcherPtr searcher = GetOrCreatePool(entry.service)->Find(entry.id);
  if (!searcher)
    return;
  zones_.RemoveSearcher(searcher->entry.zone);
  zones_.AddSearcher(entry.zone);
  searcher->entry = entry;
  searcher->health.set_slots(entry.slots);
  searcher->health.set_warmup_end(timers_.Now() + entry.warmup_left);
}

void Dispatcher::SetConnectionLimit(const SearcherEntry& entry) {
  if (!table_)
    return;
  const ServiceConfig* spec = table_->FindService(entry.service);
  if (spec == nullptr)
    return;
  int connection_share =
      spec->max_connections / (fleet_size_ + kReservedDaemons);
  int request_share =
      (entry.slots * kRequestsPerSlot + fleet_size_ - 1) / fleet_size_;
  bool small_fleet =
      fleet_size_ <= kMinRequestsPerSearcher * entry.slots * kRequestsPerSlot;
  int limit =
      std::min(connection_share,
               small_fleet ? std::max(request_share, kMinRequestsPerSearcher)
                           : request_share);
  transport_.SetConnectionLimit(entry, std::max(limit, 1));
}

void Dispatcher::ApplyConnectionLimits() {
  for (const auto& [name, pool] : pools_) {
    for (const PooledSearcherPtr& it : pool->searchers())
      SetConnectionLimit(it->entry);
  }
}

void Dispatcher::SetTable(RouteTablePtr table) {
  table_ = std::move(table);
  std::erase_if(pools_, [](const auto& it) {
    return it.second->empty() && it.second.use_count() == 1;
  });
  std::unordered_map<std::string, std::shared_ptr<RouteLatency>> latencies;
  for (const Route& it : table_->config().routes) {
    auto found = latencies_.find(it.name);
    if (found != latencies_.end())
      latencies.insert(*found);
  }
  latencies_ = std::move(latencies);
  ApplyConnectionLimits();
  ReportUnknownRegions();
}

RegionLimit Dispatcher::LimitOf(
    const Route& route,
    const std::optional<WorkspaceName>& workspace) const {
  const Workspace* found =
      workspace ? table_->FindWorkspace(*workspace) : nullptr;
  return RegionLimit(route.allowed_regions,
                     found != nullptr ? &found->allowed_regions : nullptr);
}

void Dispatcher::ReportUnknownRegions() const {
  auto is_limited = [](const auto& it) { return !it.allowed_regions.empty(); };
  const ServingConfig& config = table_->config();
  bool limited =
      std::any_of(config.routes.begin(), config.routes.end(), is_limited) ||
      std::any_of(config.workspaces.begin(), config.workspaces.end(),
                  is_limited);
  if (!limited || policy_.knows_regions())
    return;
  DecisionLine(log_, LogCategory::kConfig, DecisionPriority::kStateChange,
               "region_limits_ignored", timers_.Now())
      .Add("version", config.version.value())
      .Add("reason", "the setting vm.zone_regions is empty");
}

void Dispatcher::SetOptions(const DispatchOptions& options) {
  options_ = options;
  policy_.SetRegions(options_.zone_regions);
  for (const auto& [name, pool] : pools_)
    pool->budget().set_options(options_.retry_budget);
}

void Dispatcher::SetFleetSize(int size) {
  fleet_size_ = std::max(size, 1);
  for (const auto& [name, pool] : pools_)
    pool->budget().set_fleet_size(fleet_size_);
  ApplyConnectionLimits();
}

void Dispatcher::OnZoneChange(const ZoneName& zone, bool reachable) {
  DecisionLine(log_, LogCategory::kMembership, DecisionPriority::kStateChange,
               reachable ? "zone_reachable" : "zone_unreachable", timers_.Now())
      .Add("zone", zone.value())
      .Add("isolated", zones_.IsIsolated() ? "yes" : "no");
  // Not from within the reply that is being handled.
  if (!reachable) {
    timers_.ScheduleAfter(Duration(0), [this, zone] {
      ReturnQueued(zone, "its availability zone can't be reached");
    });
  }
}

void Dispatcher::SetZoneEvacuated(const ZoneName& zone, bool evacuated) {
  policy_.SetEvacuated(zone, evacuated, timers_.Now());
  DecisionLine(log_, LogCategory::kMembership, DecisionPriority::kStateChange,
               evacuated ? "zone_evacuated" : "zone_evacuation_ended",
               timers_.Now())
      .Add("zone", zone.value())
      .Add("searchers", SearchersOf(zone).size());
  if (evacuated)
    ReturnQueued(zone, "its availability zone is evacuated");
}

std::vector<SearcherEntry> Dispatcher::SearchersOf(const ZoneName& zone) const {
  std::vector<SearcherEntry> searchers;
  for (const auto& [name, pool] : pools_) {
    for (const PooledSearcherPtr& it : pool->searchers()) {
      if (it->entry.zone == zone)
        searchers.push_back(it->entry);
    }
  }
  return searchers;
}

void Dispatcher::ReturnQueued(const ZoneName& zone, const std::string& reason) {
  for (const SearcherEntry& it : SearchersOf(zone))
    transport_.ReturnQueued(it.id, reason);
}

bool Dispatcher::CanServe(const Route& route, bool reachable_only) const {
  auto has_searcher = [this, reachable_only](const ServiceName& name) {
    auto it = pools_.find(name);
    if (it == pools_.end())
      return false;
    return reachable_only ? it->second->HasReachable() : !it->second->empty();
  };
  if (!route.scatter) {
    return std::all_of(
        route.split.begin(), route.split.end(),
        [&](const WeightedService& it) { return has_searcher(it.service); });
  }
  const std::vector<ServiceName>& shards = route.scatter->shards;
  auto served = std::count_if(shards.begin(), shards.end(), has_searcher);
  return static_cast<std::size_t>(served) >= route.scatter->RequiredShards();
}

bool Dispatcher::IsImpaired() const {
  if (!table_ || !zones_.IsIsolated())
    return false;
  const std::vector<Route>& routes = table_->config().routes;
  return std::any_of(routes.begin(), routes.end(), [this](const Route& it) {
    return CanServe(it, false) && !CanServe(it, true);
  });
}

Dispatcher::RunPtr Dispatcher::Submit(ForwardedRequestPtr request,
                                      AnswerHandler done) {
  const Route* route =
      table_ ? table_->Find(request->host, request->target) : nullptr;
  if (route == nullptr)
    return RefuseUnrouted(*request, done);
  int urgency = table_->UrgencyOf(*route, request->workspace);
  RegionLimit limit = LimitOf(*route, request->workspace);
  RoutedRequest routed{std::move(request),         table_,  route,
                       GetOrCreateLatency(*route), urgency, limit};
  RunPtr run = MakeRun(std::move(routed), std::move(done));
  run->Begin();
  return run;
}

Duration Dispatcher::EstimateAnswerTime(const ForwardedRequest& request) const {
  const Route* route =
      table_ ? table_->Find(request.host, request.target) : nullptr;
  if (route == nullptr)
    return Duration(0);
  auto it = latencies_.find(route->name);
  Duration estimate =
      it == latencies_.end() ? route->target_latency : it->second->UpperBound();
  return std::min(
      {estimate, route->timeout, request.deadline.value_or(route->timeout)});
}

Dispatcher::RunPtr Dispatcher::RefuseUnrouted(const ForwardedRequest& request,
                                              const AnswerHandler& done) {
  CallerAnswer answer;
  answer.error = table_ ? ErrorKind::kNotFound : ErrorKind::kNotReady;
  answer.reason = table_ ? "no route for this host and path"
                         : "no configuration is known yet";
  if (!table_) {
    answer.retry_after = retry_advice_.Get(
        kStartupWait, request.deadline.value_or(kDefaultDeadline));
  }
  DecisionLine(log_, LogCategory::kGather, DecisionPriority::kNotable,
               "refused", timers_.Now())
      .Add("request", request.id)
      .Add("reason", answer.reason)
      .Add("host", request.host)
      .Add("target", request.target)
      .Add("config", table_ ? table_->version().value() : 0);
  done(std::move(answer));
  return nullptr;
}

std::shared_ptr<RequestRun> Dispatcher::MakeRun(RoutedRequest routed,
                                                AnswerHandler done) {
  const Route& route = *routed.route;
  if (!route.scatter) {
    std::shared_ptr<ServicePool> pool = GetOrCreatePool(splitter_.Next(route));
    return std::make_shared<SingleRun>(context_, std::move(routed), pool,
                                       std::move(done));
  }
  std::vector<std::shared_ptr<ServicePool>> pools;
  for (const ServiceName& it : route.scatter->shards)
    pools.push_back(GetOrCreatePool(it));
  return std::make_shared<ScatterRun>(context_, std::move(routed), pools,
                                      std::move(done));
}

}  // namespace jujubecove
