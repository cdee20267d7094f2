#include "dispatch/service_pool.h"

#include <algorithm>

namespace jujubecove {
namespace {

// Bytes between availability zones are paid for. A searcher in another zone is
// chosen only when it is expected to answer earlier by this part of the route's
// target.
constexpr int kOtherZonePartOfTarget = 4;
// A suspect searcher is chosen only when no other is left.
constexpr Duration kSuspectPenalty = std::chrono::seconds(30);
// Random part of the score, so that daemons with equal knowledge do not all
// choose the same searcher.
constexpr double kJitter = 0.15;

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

PooledSearcherPtr ServicePool::Select(std::span<const PooledSearcherPtr> tried,
                                      const RouteLatency& latency,
                                      TimePoint now,
                                      RandomEngine& random) const {
  std::uniform_real_distribution<double> jitter(1.0, 1.0 + kJitter);
  PooledSearcherPtr best;
  Duration best_score = Duration::max();
  for (const PooledSearcherPtr& it : searchers_) {
    if (it->health.IsDisplaced(now) ||
        std::find(tried.begin(), tried.end(), it) != tried.end())
      continue;
    Duration score = it->health.ExpectedLatency(latency.usual(), now);
    if (it->entry.zone != own_zone_)
      score += latency.target() / kOtherZonePartOfTarget;
    score = Duration(static_cast<Duration::rep>(
        static_cast<double>(score.count()) * jitter(random)));
    if (it->health.IsSuspect(now))
      score += kSuspectPenalty;
    if (score < best_score) {
      best_score = score;
      best = it;
    }
  }
  return best;
}

}  // namespace jujubecove
