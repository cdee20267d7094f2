#include "routing/replica_selector.h"

#include <algorithm>
#include <limits>

namespace jujubecove {
namespace {

// A replica that fails half of its requests counts as six times slower, so that
// fast failures do not attract load.
constexpr double kFailurePenalty = 10;
// Keeps daemons with the same view from all choosing the same replica.
constexpr double kJitter = 0.1;
// A replica that was not observed for this long may have recovered.
constexpr Duration kStaleAfter{10'000'000};

bool WasTried(const ReplicaRequest& request, const SearcherId& id) {
  return std::find(request.tried.begin(), request.tried.end(), id) !=
         request.tried.end();
}

}  // namespace

struct ReplicaSelector::Selection {
  const ReplicaRequest& request;
  ServiceRoutingState& service;
  TimePoint now;
  ReplicaCounts counts;
  double default_latency = 0;
  bool version_held = false;
  bool usable_at_limit = false;
  double best_wait = std::numeric_limits<double>::infinity();
  SearcherIndex best = kNoSearcher;
  // Ejected, absent or backing off; chosen only if no other is left.
  double fallback_wait = std::numeric_limits<double>::infinity();
  SearcherIndex fallback = kNoSearcher;
  bool any_at_limit = false;
  SearcherIndex probe = kNoSearcher;
};

ReplicaCounts ReplicaSelector::CountReplicas(const ReplicaGroup& group,
                                             TimePoint now) const {
  ReplicaCounts counts;
  for (const Replica& replica : group.replicas) {
    const Searcher& searcher = directory_.at(replica.searcher);
    if (searcher.draining())
      continue;
    ++counts.not_draining;
    if (!directory_.IsPresent(searcher, now))
      continue;
    ++counts.present;
    // An unreachable replica must not count as active, or it would keep an
    // ejected one out of use.
    if (!searcher.ejection.ejected() && !searcher.unreachable)
      ++counts.active;
  }
  return counts;
}

bool ReplicaSelector::IsUsable(const Replica& replica,
                               const ReplicaCounts& counts,
                               TimePoint now) const {
  const Searcher& searcher = directory_.at(replica.searcher);
  if (searcher.draining())
    return false;
  if (counts.present > 0 && !directory_.IsPresent(searcher, now))
    return false;
  return !searcher.ejection.ejected() || counts.active < counts.min_active();
}

ReplicaChoice ReplicaSelector::Select(const ReplicaGroup& group,
                                      const ReplicaRequest& request,
                                      ServiceRoutingState& service,
                                      TimePoint now) {
  Selection selection{request, service, now, CountReplicas(group, now)};
  if (selection.counts.not_draining == 0)
    return ReplicaChoice{ReplicaChoiceStatus::kNoReplica, {}};
  selection.default_latency =
      static_cast<double>(service.EstimatedLatency().count());
  for (const Replica& replica : group.replicas)
    ConsiderReplica(replica, selection);
  return MakeChoice(selection);
}

void ReplicaSelector::ConsiderReplica(const Replica& replica,
                                      Selection& selection) {
  const Searcher& searcher = directory_.at(replica.searcher);
  if (searcher.draining())
    return;
  if (selection.request.index_version &&
      !replica.Holds(*selection.request.index_version))
    return;
  selection.version_held = true;
  if (WasTried(selection.request, searcher.id))
    return;
  ConsiderForProbe(searcher, replica.searcher, selection);
  bool usable = IsUsable(replica, selection.counts, selection.now);
  if (searcher.in_flight >= searcher.limit.limit()) {
    selection.usable_at_limit = selection.usable_at_limit || usable;
    selection.any_at_limit = true;
    return;
  }
  double wait = ExpectedWait(searcher, selection);
  if (usable && !searcher.limit.IsBackingOff(selection.now)) {
    if (wait < selection.best_wait) {
      selection.best_wait = wait;
      selection.best = replica.searcher;
    }
  } else if (wait < selection.fallback_wait) {
    selection.fallback_wait = wait;
    selection.fallback = replica.searcher;
  }
}

void ReplicaSelector::ConsiderForProbe(const Searcher& searcher,
                                       SearcherIndex index,
                                       Selection& selection) {
  // Probe only with a first attempt that can be retried on another replica.
  if (!selection.request.idempotent || !selection.request.tried.empty() ||
      !selection.service.probe_budget.HasToken() || searcher.in_flight > 0 ||
      selection.counts.present < 2)
    return;
  bool stale = !searcher.ejection.ejected() && searcher.stats.samples() > 0 &&
               selection.now - searcher.stats.last_observed() > kStaleAfter;
  if (!searcher.ejection.IsProbeDue(selection.now) && !stale)
    return;
  if (selection.probe == kNoSearcher ||
      searcher.stats.last_observed() <
          directory_.at(selection.probe).stats.last_observed())
    selection.probe = index;
}

double ReplicaSelector::ExpectedWait(const Searcher& searcher,
                                     const Selection& selection) {
  double latency = searcher.stats.samples() > 0 ? searcher.stats.latency()
                                                : selection.default_latency;
  std::uint32_t slots = searcher.limit.slots();
  double load = searcher.in_flight + 1 +
                searcher.stats.DiscountedLoad(slots, selection.now);
  double uniform = static_cast<double>(random_() >> 11U) * 0x1.0p-53;
  return load * latency / slots *
         (1 + kFailurePenalty * searcher.stats.failure_rate()) *
         (1 + kJitter * uniform);
}

ReplicaChoice ReplicaSelector::MakeChoice(Selection& selection) {
  if (!selection.version_held)
    return ReplicaChoice{ReplicaChoiceStatus::kVersionUnavailable, {}};
  if (selection.probe != kNoSearcher) {
    selection.service.probe_budget.TakeToken();
    Searcher& searcher = directory_.at(selection.probe);
    searcher.ejection.BeginProbe(selection.now);
    return ReplicaChoice{ReplicaChoiceStatus::kChosen, searcher.id, true};
  }
  if (selection.best != kNoSearcher)
    return ReplicaChoice{ReplicaChoiceStatus::kChosen,
                         directory_.at(selection.best).id};
  if (selection.usable_at_limit)
    return ReplicaChoice{ReplicaChoiceStatus::kAllAtLimit, {}};
  if (selection.fallback != kNoSearcher)
    return ReplicaChoice{ReplicaChoiceStatus::kChosen,
                         directory_.at(selection.fallback).id};
  // Wait even for an outlier at its limit: it may be the only replica that
  // holds the version.
  return ReplicaChoice{selection.any_at_limit ? ReplicaChoiceStatus::kAllAtLimit
                                              : ReplicaChoiceStatus::kNoReplica,
                       {}};
}

}  // namespace jujubecove
