#include "dispatch/service_pool.h"

#include <algorithm>

namespace jujubecove {
namespace {

// Traffic between availability zones costs money. A searcher in another zone is
// chosen only if it is expected to answer faster by the route's target divided
// by this.
constexpr int kCrossZonePenaltyDivisor = 4;
// Large enough that a suspect searcher is chosen only if there is no other one.
constexpr Duration kSuspectPenalty = std::chrono::seconds(30);
// The same for a searcher whose zone returns from an evacuation, beyond the
// share of requests that the zone may get. Smaller, so that a request rather
// goes there than fails.
constexpr Duration kReturningZonePenalty = std::chrono::seconds(20);
// Largest random part of a score. Without it, daemons with the same view would
// all choose the same searcher.
constexpr double kScoreJitter = 0.15;

Duration Scale(Duration duration, double factor) {
  return Duration(static_cast<Duration::rep>(
      static_cast<double>(duration.count()) * factor));
}

}  // namespace

void ServicePool::Add(PooledSearcherPtr searcher) {
  Remove(searcher->entry.id);
  searchers_.push_back(std::move(searcher));
}

void ServicePool::Remove(const InstanceId& id) {
  std::erase_if(searchers_, [&id](const PooledSearcherPtr& it) {
    return it->entry.id == id;
  });
}

PooledSearcherPtr ServicePool::Find(const InstanceId& id) const {
  for (const PooledSearcherPtr& it : searchers_) {
    if (it->entry.id == id)
      return it;
  }
  return nullptr;
}

// A failed attempt costs a retry, and often the part or the request. However
// short the usual latency is, a searcher that fails always is as bad as one
// that takes the whole target. A VM with few requests keeps to the searchers to
// which it has connections, unless another one is faster by what a connection
// costs: with more VMs than a searcher accepts connections, nearly every
// request would open one otherwise, and the searcher would close another VM's.
PooledSearcherPtr ServicePool::Select(std::span<const PooledSearcherPtr> tried,
                                      const RouteLatency& latency,
                                      TimePoint now,
                                      RandomEngine& random,
                                      const RegionLimit& limit) const {
  std::uniform_real_distribution<double> jitter(1.0, 1.0 + kScoreJitter);
  PooledSearcherPtr best;
  Duration best_score = Duration::max();
  Duration connection_cost = latency.NewConnectionCost();
  for (const PooledSearcherPtr& it : searchers_) {
    if (!it->health.IsAvailable(now) ||
        !policy_.Allows(it->entry.zone, limit) ||
        std::find(tried.begin(), tried.end(), it) != tried.end())
      continue;
    Duration score = it->health.ExpectedLatency(latency.typical(), now);
    score += Scale(latency.target(), it->health.failure_rate());
    if (connection_cost > Duration(0) &&
        !transport_.HasIdleConnection(it->entry.id))
      score += connection_cost;
    if (it->entry.zone != own_zone_)
      score += latency.target() / kCrossZonePenaltyDivisor;
    score = Scale(score, jitter(random));
    if (it->health.IsSuspect(now) || !zones_.IsReachable(it->entry.zone))
      score += kSuspectPenalty;
    double share = policy_.ShareOf(it->entry.zone, now);
    if (share < 1.0 && !std::bernoulli_distribution(share)(random))
      score += kReturningZonePenalty;
    if (score < best_score) {
      best_score = score;
      best = it;
    }
  }
  return best;
}

std::optional<Duration> ServicePool::WaitUntilAvailable(
    TimePoint now,
    const RegionLimit& limit) const {
  std::optional<Duration> wait;
  for (const PooledSearcherPtr& it : searchers_) {
    if (!policy_.Allows(it->entry.zone, limit))
      continue;
    Duration own = std::max(it->health.available_at() - now, Duration(0));
    wait = std::min(wait.value_or(own), own);
  }
  return wait;
}

bool ServicePool::HasReachable(const RegionLimit& limit) const {
  return std::any_of(searchers_.begin(), searchers_.end(),
                     [this, &limit](const PooledSearcherPtr& it) {
                       return zones_.IsReachable(it->entry.zone) &&
                              policy_.Allows(it->entry.zone, limit);
                     });
}

std::string ServicePool::ReasonForNone(const RegionLimit& limit) const {
  if (searchers_.empty())
    return "no searcher of " + name_.value();
  auto in_regions = [this, &limit](const PooledSearcherPtr& it) {
    return policy_.IsInRegions(it->entry.zone, limit);
  };
  if (std::none_of(searchers_.begin(), searchers_.end(), in_regions))
    return "no searcher of " + name_.value() + " in an allowed region";
  auto allowed = [this, &limit](const PooledSearcherPtr& it) {
    return policy_.Allows(it->entry.zone, limit);
  };
  if (std::none_of(searchers_.begin(), searchers_.end(), allowed))
    return "no searcher of " + name_.value() +
           " outside evacuated availability zones";
  return "no available searcher of " + name_.value();
}

std::optional<Duration> ServicePool::LowestExpectedLatency(
    const RouteLatency& latency,
    TimePoint now,
    const RegionLimit& limit) const {
  std::optional<Duration> lowest;
  for (const PooledSearcherPtr& it : searchers_) {
    if (!it->health.IsAvailable(now) || !policy_.Allows(it->entry.zone, limit))
      continue;
    Duration own = it->health.ExpectedLatency(latency.typical(), now);
    lowest = std::min(lowest.value_or(own), own);
  }
  return lowest;
}

}  // namespace jujubecove
