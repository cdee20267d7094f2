#include "routing/replica_selector.h"

#include <algorithm>
#include <limits>

namespace jujubecove {
namespace {

// A replica that fails half of its requests counts as six times slower, so that
// quick failures do not attract load.
constexpr double kFailurePenalty = 10;
// Relative spread that keeps daemons with equal views from all choosing the
// same replica.
constexpr double kJitter = 0.1;
// A replica that was passed over for this long may have recovered.
constexpr Duration kUnobserved{10'000'000};

bool WasTried(const ReplicaRequest& request, const SearcherId& id) {
  return std::find(request.tried.begin(), request.tried.end(), id) !=
         request.tried.end();
}

}  // namespace

// The state of one selection.
struct ReplicaSelector::Search {
  const ReplicaRequest& request;
  ServiceState& service;
  TimePoint now;
  PoolState pool;
  double unknown_latency = 0;
  bool holds_any = false;
  bool busy = false;
  double best_wait = std::numeric_limits<double>::infinity();
  SearcherIndex best = kNoSearcher;
  // Used only when nothing else is left.
  double spare_wait = std::numeric_limits<double>::infinity();
  SearcherIndex spare = kNoSearcher;
  bool spare_busy = false;
  SearcherIndex probe = kNoSearcher;
};

PoolState ReplicaSelector::Survey(const ReplicaGroup& group,
                                  TimePoint now) const {
  PoolState pool;
  for (const Replica& replica : group.replicas) {
    const Searcher& searcher = directory_.at(replica.searcher);
    if (searcher.leaving())
      continue;
    ++pool.staying;
    if (!directory_.IsPresent(searcher, now))
      continue;
    ++pool.present;
    // A replica that can't be connected to serves nobody, so it must not keep
    // an ejected one out.
    if (!searcher.ejection.ejected() && !searcher.unreachable)
      ++pool.active;
  }
  return pool;
}

bool ReplicaSelector::IsUsable(const Replica& replica,
                               const PoolState& pool,
                               TimePoint now) const {
  const Searcher& searcher = directory_.at(replica.searcher);
  if (searcher.leaving())
    return false;
  if (pool.present > 0 && !directory_.IsPresent(searcher, now))
    return false;
  return !searcher.ejection.ejected() || pool.active < pool.floor();
}

ReplicaChoice ReplicaSelector::Select(const ReplicaGroup& group,
                                      const ReplicaRequest& request,
                                      ServiceState& service,
                                      TimePoint now) {
  Search search{request, service, now, Survey(group, now)};
  if (search.pool.staying == 0)
    return ReplicaChoice{ReplicaChoiceStatus::kNoReplica, {}};
  search.unknown_latency =
      static_cast<double>(service.EstimatedLatency().count());
  for (const Replica& replica : group.replicas)
    Consider(replica, search);
  return Conclude(search);
}

void ReplicaSelector::Consider(const Replica& replica, Search& search) {
  const Searcher& searcher = directory_.at(replica.searcher);
  if (searcher.leaving())
    return;
  if (search.request.index_version &&
      !replica.Holds(*search.request.index_version))
    return;
  search.holds_any = true;
  if (WasTried(search.request, searcher.id))
    return;
  ConsiderProbe(searcher, replica.searcher, search);
  bool usable = IsUsable(replica, search.pool, search.now);
  if (searcher.in_flight >= searcher.limit.limit()) {
    search.busy = search.busy || usable;
    search.spare_busy = true;
    return;
  }
  double wait = ExpectedWait(searcher, search);
  if (usable && !searcher.limit.IsBackingOff(search.now)) {
    if (wait < search.best_wait) {
      search.best_wait = wait;
      search.best = replica.searcher;
    }
  } else if (wait < search.spare_wait) {
    search.spare_wait = wait;
    search.spare = replica.searcher;
  }
}

void ReplicaSelector::ConsiderProbe(const Searcher& searcher,
                                    SearcherIndex index,
                                    Search& search) {
  // Only a first attempt that may be repeated elsewhere is risked.
  if (!search.request.idempotent || !search.request.tried.empty() ||
      !search.service.probes.HasToken() || searcher.in_flight > 0 ||
      search.pool.present < 2)
    return;
  bool unobserved = !searcher.ejection.ejected() &&
                    searcher.stats.samples() > 0 &&
                    search.now - searcher.stats.last_observed() > kUnobserved;
  if (!searcher.ejection.IsProbeDue(search.now) && !unobserved)
    return;
  if (search.probe == kNoSearcher ||
      searcher.stats.last_observed() <
          directory_.at(search.probe).stats.last_observed())
    search.probe = index;
}

double ReplicaSelector::ExpectedWait(const Searcher& searcher,
                                     const Search& search) {
  double latency = searcher.stats.samples() > 0 ? searcher.stats.latency()
                                                : search.unknown_latency;
  std::uint32_t slots = searcher.limit.slots();
  double load =
      searcher.in_flight + 1 + searcher.stats.DiscountedLoad(slots, search.now);
  double spread = static_cast<double>(random_() >> 11U) * 0x1.0p-53;
  return load * latency / slots *
         (1 + kFailurePenalty * searcher.stats.failure_rate()) *
         (1 + kJitter * spread);
}

ReplicaChoice ReplicaSelector::Conclude(Search& search) {
  if (!search.holds_any)
    return ReplicaChoice{ReplicaChoiceStatus::kVersionUnavailable, {}};
  if (search.probe != kNoSearcher) {
    search.service.probes.Take();
    Searcher& searcher = directory_.at(search.probe);
    searcher.ejection.BeginProbe(search.now);
    return ReplicaChoice{ReplicaChoiceStatus::kChosen, searcher.id, true};
  }
  if (search.best != kNoSearcher)
    return ReplicaChoice{ReplicaChoiceStatus::kChosen,
                         directory_.at(search.best).id};
  if (search.busy)
    return ReplicaChoice{ReplicaChoiceStatus::kAllAtLimit, {}};
  if (search.spare != kNoSearcher)
    return ReplicaChoice{ReplicaChoiceStatus::kChosen,
                         directory_.at(search.spare).id};
  // An outlier at its limit is still worth waiting for: it may be the only one
  // that holds the version.
  return ReplicaChoice{search.spare_busy ? ReplicaChoiceStatus::kAllAtLimit
                                         : ReplicaChoiceStatus::kNoReplica,
                       {}};
}

}  // namespace jujubecove
