#include "routing/adaptive_router.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace jujubecove {
namespace {

// Bounds how late the cache notices that a searcher is no longer present. All
// other changes invalidate it at once.
constexpr Duration kPickCacheLifetime{100'000};
// Hedging exactly at the 95th percentile would spend the whole budget on a
// healthy service. This much later, hedges spend about half of it and leave the
// rest for stragglers and retries.
constexpr double kHedgeDelayFactor = 1.15;
// A shorter delay would hedge attempts that are about to be answered; a longer
// one leaves too little of the usual deadline of 250 ms.
constexpr Duration kMinHedgeDelay{1'000};
constexpr Duration kMaxHedgeDelay{100'000};

}  // namespace

AdaptiveRouter::AdaptiveRouter(TimerService& timers, std::uint64_t seed)
    : timers_(timers),
      random_(seed),
      selector_(directory_, random_),
      picker_(directory_, selector_),
      outlier_detector_(directory_, selector_) {}

ServiceRoutingState& AdaptiveRouter::FindOrAddState(
    const ServiceName& service) {
  ServiceIndex index = directory_.FindOrAddService(service);
  if (index >= services_.size())
    services_.resize(index + 1);
  return services_[index];
}

const ServiceRoutingState* AdaptiveRouter::FindState(
    const ServiceName& service) const {
  std::optional<ServiceIndex> index = directory_.FindService(service);
  return index && *index < services_.size() ? &services_[*index] : nullptr;
}

void AdaptiveRouter::SetDocument(std::shared_ptr<const Document> document) {
  document_ = std::move(document);
  for (ServiceRoutingState& state : services_)
    state.in_document = false;
  for (const auto& [name, spec] : document_->services) {
    ServiceRoutingState& state = FindOrAddState(name);
    state.spec = spec;
    state.in_document = true;
  }
  ConfigureAll();
}

void AdaptiveRouter::Configure(Searcher& searcher) {
  const ServiceRoutingState& state = services_[searcher.service];
  std::uint32_t slots =
      state.in_document ? state.spec.slots : searcher.reported_slots;
  searcher.limit.Configure(slots, live_daemons_);
}

void AdaptiveRouter::ConfigureAll() {
  for (SearcherIndex index = 0; index < directory_.capacity(); ++index)
    Configure(directory_.at(index));
}

void AdaptiveRouter::ApplyVmList(const std::vector<SearcherVm>& vms) {
  for (const SearcherVm& vm : vms) {
    if (!vm.service.value().empty())
      FindOrAddState(vm.service);
  }
  directory_.ApplyVmList(vms, timers_.Now());
  ConfigureAll();
}

void AdaptiveRouter::ApplyReport(const SearcherReport& report) {
  if (report.service.value().empty())
    return;
  FindOrAddState(report.service);
  TimePoint now = timers_.Now();
  SearcherIndex index = directory_.ApplyReport(report, now);
  if (index == kNoSearcher)
    return;
  Searcher& searcher = directory_.at(index);
  if (searcher.reported_slots != report.slots || !searcher.limit_configured) {
    searcher.reported_slots = report.slots;
    searcher.limit_configured = true;
    Configure(searcher);
  }
  double other_load =
      static_cast<double>(report.in_flight) - searcher.in_flight;
  searcher.stats.ObserveReportedLoad(other_load, now);
  if (report.healthy)
    outlier_detector_.OnHealthyReport(index, now);
  else
    outlier_detector_.OnUnhealthyReport(index, now);
}

void AdaptiveRouter::AddShardMap(const ServiceName& service,
                                 std::shared_ptr<const ShardMap> map) {
  if (FindOrAddState(service).maps.Add(std::move(map)))
    directory_.IncrementGeneration();
}

void AdaptiveRouter::SetLiveDaemons(std::size_t count) {
  live_daemons_ = std::max<std::size_t>(count, 1);
  ConfigureAll();
}

const AdaptiveRouter::CachedPick& AdaptiveRouter::CachedPickOf(
    const ServiceName& service,
    ServiceIndex index) const {
  if (index >= cached_picks_.size())
    cached_picks_.resize(index + 1);
  CachedPick& cached = cached_picks_[index];
  TimePoint now = timers_.Now();
  if (cached.generation == directory_.generation() && now < cached.until)
    return cached;
  const ShardMapCatalog& maps = services_[index].maps;
  cached.generation = directory_.generation();
  cached.until = now + kPickCacheLifetime;
  cached.map = picker_.PickMap(service, maps, now);
  cached.pin = picker_.Pick(service, maps, {}, now);
  return cached;
}

std::shared_ptr<const ShardMap> AdaptiveRouter::CurrentMap(
    const ServiceName& service) const {
  std::optional<ServiceIndex> index = directory_.FindService(service);
  return index ? CachedPickOf(service, *index).map : nullptr;
}

std::optional<SnapshotPin> AdaptiveRouter::PickSnapshot(
    const ServiceName& service,
    const std::vector<SnapshotPin>& avoid) const {
  std::optional<ServiceIndex> index = directory_.FindService(service);
  if (!index)
    return std::nullopt;
  if (avoid.empty())
    return CachedPickOf(service, *index).pin;
  return picker_.Pick(service, services_[*index].maps, avoid, timers_.Now());
}

ReplicaChoice AdaptiveRouter::ChooseReplica(const ReplicaRequest& request) {
  const ReplicaGroup* group = directory_.groups().Find(
      request.service, request.map_version, request.shard);
  if (!group)
    return ChooseWithoutGroup(request);
  return selector_.Select(*group, request, services_[group->service],
                          timers_.Now());
}

ReplicaChoice AdaptiveRouter::ChooseWithoutGroup(
    const ReplicaRequest& request) const {
  const ServiceRoutingState* state = FindState(request.service);
  if (!state)
    return ReplicaChoice{};
  for (const std::shared_ptr<const ShardMap>& map : state->maps.maps()) {
    const ReplicaGroup* group = directory_.groups().Find(
        request.service, map->version(), request.shard);
    if (group &&
        selector_.CountReplicas(*group, timers_.Now()).not_draining > 0)
      return ReplicaChoice{ReplicaChoiceStatus::kVersionUnavailable, {}};
  }
  return ReplicaChoice{};
}

void AdaptiveRouter::OnSend(const UpstreamRequest& request,
                            const ServiceName& service) {
  (void)service;
  SearcherIndex index = directory_.Find(request.searcher);
  if (index == kNoSearcher)
    return;
  Searcher& searcher = directory_.at(index);
  auto [it, inserted] = attempts_.try_emplace(request.attempt.value());
  if (!inserted)
    return;
  it->second = Attempt{index, searcher.ejection.probing(), timers_.Now(),
                       request.map_version, request.index_version};
  ++searcher.in_flight;
}

void AdaptiveRouter::OnReply(const UpstreamReply& reply) {
  auto it = attempts_.find(reply.attempt.value());
  if (it == attempts_.end())
    return;
  Attempt attempt = it->second;
  attempts_.erase(it);
  TimePoint now = timers_.Now();
  Searcher& searcher = directory_.at(attempt.searcher);
  if (reply.draining || reply.outcome == AttemptOutcome::kRefusedDraining)
    directory_.OnDrainSignal(attempt.searcher, now);
  ObserveLoad(reply, searcher, now);
  ApplyOutcome(reply, attempt, now);
  // Some outcomes say nothing about the searcher and leave its ejection as is,
  // but the probe is over.
  if (attempt.probe)
    searcher.ejection.EndProbe();
  --searcher.in_flight;
}

void AdaptiveRouter::ObserveLoad(const UpstreamReply& reply,
                                 Searcher& searcher,
                                 TimePoint now) {
  if (!reply.reported_in_flight)
    return;
  searcher.stats.ObserveReportedLoad(
      static_cast<double>(*reply.reported_in_flight) - searcher.in_flight, now);
}

void AdaptiveRouter::ApplyOutcome(const UpstreamReply& reply,
                                  const Attempt& attempt,
                                  TimePoint now) {
  Searcher& searcher = directory_.at(attempt.searcher);
  switch (reply.outcome) {
    case AttemptOutcome::kOk:
      OnSuccess(reply, attempt, now);
      break;
    case AttemptOutcome::kRefusedBusy:
    case AttemptOutcome::kNoConnection:
      searcher.limit.OnBusy(attempt.sent, now);
      break;
    case AttemptOutcome::kRefusedVersion:
      directory_.MarkMissing(attempt.searcher, attempt.map_version,
                             attempt.index_version, now);
      break;
    case AttemptOutcome::kRefusedMap:
      directory_.MarkMissing(attempt.searcher, attempt.map_version,
                             std::nullopt, now);
      break;
    case AttemptOutcome::kRefusedCold:
      searcher.limit.OnCold(now);
      break;
    case AttemptOutcome::kTimedOut:
    case AttemptOutcome::kCancelled:
      OnUnanswered(reply, attempt, now);
      break;
    case AttemptOutcome::kConnectFailed:
    case AttemptOutcome::kConnectionLost:
    case AttemptOutcome::kBadReply:
    case AttemptOutcome::kFailed:
      OnFailure(attempt, reply.outcome == AttemptOutcome::kConnectFailed, now);
      break;
    case AttemptOutcome::kRefusedDraining:
    case AttemptOutcome::kRefusedDeadline:
    case AttemptOutcome::kSilent:
      break;
  }
}

void AdaptiveRouter::OnSuccess(const UpstreamReply& reply,
                               const Attempt& attempt,
                               TimePoint now) {
  Searcher& searcher = directory_.at(attempt.searcher);
  searcher.last_response = now;
  if (searcher.unreachable) {
    searcher.unreachable = false;
    searcher.limit.RestartSlowStart();
  }
  searcher.limit.OnSuccess(searcher.in_flight);
  searcher.stats.ObserveSuccess(reply.latency, now);
  services_[searcher.service].latency.Add(reply.latency, now);
  outlier_detector_.OnLatency(attempt.searcher,
                              static_cast<double>(reply.latency.count()), true,
                              attempt.probe, now);
  if (attempt.index_version && reply.map_version == attempt.map_version &&
      reply.index_version != *attempt.index_version)
    directory_.MarkMissing(attempt.searcher, attempt.map_version,
                           attempt.index_version, now);
  directory_.AddObservedVersion(attempt.searcher, reply.map_version,
                                reply.shard, reply.index_version);
}

void AdaptiveRouter::OnUnanswered(const UpstreamReply& reply,
                                  const Attempt& attempt,
                                  TimePoint now) {
  Searcher& searcher = directory_.at(attempt.searcher);
  // The transport does not always set the latency.
  Duration elapsed = std::max(reply.latency, now - attempt.sent);
  searcher.stats.ObserveLatencyAtLeast(elapsed, now);
  LatencyWindow& window = services_[searcher.service].latency;
  if (elapsed > window.RecentMedian())
    window.Add(elapsed, now);
  outlier_detector_.OnLatency(attempt.searcher,
                              static_cast<double>(elapsed.count()), false,
                              attempt.probe, now);
}

void AdaptiveRouter::OnFailure(const Attempt& attempt,
                               bool unreachable,
                               TimePoint now) {
  Searcher& searcher = directory_.at(attempt.searcher);
  searcher.unreachable = unreachable;
  searcher.stats.ObserveFailure(now);
  outlier_detector_.OnFailure(attempt.searcher, attempt.probe, now);
}

void AdaptiveRouter::OnFirstAttempt(const ServiceName& service) {
  ServiceRoutingState& state = FindOrAddState(service);
  state.retry_budget.OnFirstAttempt(state.latency.IsSlow());
  state.probe_budget.OnFirstAttempt(state.maps.shard_count());
}

bool AdaptiveRouter::TryTakeRetryToken(const ServiceName& service) {
  ServiceRoutingState& state = FindOrAddState(service);
  return state.retry_budget.TryTakeToken(state.latency.IsSlow());
}

std::optional<Duration> AdaptiveRouter::HedgeDelay(
    const ServiceName& service) const {
  const ServiceRoutingState* state = FindState(service);
  if (!state || !state->latency.HasEnoughSamples() || state->latency.IsSlow())
    return std::nullopt;
  Duration delay = std::chrono::duration_cast<Duration>(
      state->latency.RecentP95() * kHedgeDelayFactor);
  return std::clamp(delay, kMinHedgeDelay, kMaxHedgeDelay);
}

Duration AdaptiveRouter::EstimatedLatency(const ServiceName& service) const {
  const ServiceRoutingState* state = FindState(service);
  return state ? state->EstimatedLatency() : ServiceSpec{}.expected_latency;
}

std::size_t AdaptiveRouter::ejected_count() const {
  std::size_t count = 0;
  for (SearcherIndex index = 0; index < directory_.capacity(); ++index)
    count += directory_.at(index).ejection.ejected() ? 1 : 0;
  return count;
}

}  // namespace jujubecove
