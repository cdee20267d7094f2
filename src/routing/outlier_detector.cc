#include "routing/outlier_detector.h"

#include <algorithm>
#include <cstddef>

namespace jujubecove {
namespace {

// A searcher is an outlier if its smoothed latency exceeds this multiple of its
// peers' median.
constexpr double kOutlierFactor = 3;
// Smaller differences are not worth an ejection.
constexpr double kMinExcessUs = 1000;
// An attempt that is cancelled because its hedge won shows only a lower bound
// of the latency, which may never reach the outlier bound. So a searcher is
// also an outlier after this many unanswered attempts in a row that exceed this
// multiple of its peers' median. A healthy searcher has 1 such attempt in 50.
constexpr double kLateFactor = 2;
constexpr std::uint32_t kEjectAfterUnanswered = 3;
constexpr std::uint32_t kMinSamples = 3;
constexpr std::uint32_t kEjectAfterFailures = 3;
constexpr std::uint32_t kEjectAfterConnectFailures = 2;
constexpr double kMaxFailureRate = 0.3;
// An ejected peer returns in place of a new outlier only if it is faster by
// this factor.
constexpr double kUnejectFactor = 2;
// A success within this time outweighs a report that the searcher is unhealthy.
constexpr Duration kRecentSuccess{1'000'000};

}  // namespace

double OutlierDetector::MedianPeerLatency(SearcherIndex index) const {
  for (const ReplicaGroup* group : directory_.at(index).groups) {
    peer_latencies_.clear();
    for (const Replica& replica : group->replicas) {
      const Searcher& peer = directory_.at(replica.searcher);
      if (replica.searcher != index && !peer.ejection.ejected() &&
          peer.stats.samples() >= kMinSamples)
        peer_latencies_.push_back(peer.stats.latency());
    }
    if (peer_latencies_.empty())
      continue;
    auto middle = peer_latencies_.begin() +
                  static_cast<std::ptrdiff_t>((peer_latencies_.size() - 1) / 2);
    std::nth_element(peer_latencies_.begin(), middle, peer_latencies_.end());
    return *middle;
  }
  return 0;
}

bool OutlierDetector::IsOutlier(double latency, double peer_latency) const {
  return peer_latency > 0 && latency > kOutlierFactor * peer_latency &&
         latency > peer_latency + kMinExcessUs;
}

bool OutlierDetector::MayEject(SearcherIndex index, TimePoint now) const {
  const Searcher& searcher = directory_.at(index);
  if (searcher.groups.empty() || searcher.draining())
    return false;
  return std::all_of(searcher.groups.begin(), searcher.groups.end(),
                     [this, now](const ReplicaGroup* group) {
                       ReplicaCounts counts =
                           selector_.CountReplicas(*group, now);
                       return counts.active > counts.min_active();
                     });
}

void OutlierDetector::Eject(SearcherIndex index, TimePoint now) {
  Searcher& searcher = directory_.at(index);
  if (!searcher.ejection.ejected() && !MayEject(index, now)) {
    UnejectFasterPeers(index, now);
    if (!MayEject(index, now))
      return;
  }
  searcher.ejection.Eject(now);
  directory_.IncrementGeneration();
}

void OutlierDetector::UnejectFasterPeers(SearcherIndex index, TimePoint now) {
  const SearcherStats& stats = directory_.at(index).stats;
  for (const ReplicaGroup* group : directory_.at(index).groups) {
    SearcherIndex best = kNoSearcher;
    double best_latency = stats.latency() / kUnejectFactor;
    for (const Replica& replica : group->replicas) {
      const Searcher& peer = directory_.at(replica.searcher);
      if (peer.ejection.ejected() && !peer.draining() &&
          peer.stats.samples() > 0 &&
          peer.stats.failure_rate() <= stats.failure_rate() &&
          peer.stats.latency() < best_latency) {
        best = replica.searcher;
        best_latency = peer.stats.latency();
      }
    }
    if (best != kNoSearcher)
      Uneject(best, now);
  }
}

void OutlierDetector::Uneject(SearcherIndex index, TimePoint now) {
  Searcher& searcher = directory_.at(index);
  searcher.ejection.Uneject(now);
  searcher.limit.RestartSlowStart();
  directory_.IncrementGeneration();
}

void OutlierDetector::OnLatency(SearcherIndex index,
                                double latency,
                                bool answered,
                                bool probe,
                                TimePoint now) {
  Searcher& searcher = directory_.at(index);
  double peer_latency = MedianPeerLatency(index);
  if (searcher.ejection.ejected()) {
    if (!probe)
      return;
    // Only the probe counts: earlier observations are outdated.
    if (!answered || IsOutlier(latency, peer_latency)) {
      Eject(index, now);
      return;
    }
    searcher.stats.ResetLatency();
    searcher.stats.ObserveSuccess(Duration(static_cast<Duration::rep>(latency)),
                                  now);
    Uneject(index, now);
    return;
  }
  searcher.ejection.EndProbe();
  searcher.stats.UpdateReportTrust(peer_latency, searcher.limit.slots(), now);
  if (!answered && peer_latency > 0 && latency > kLateFactor * peer_latency)
    searcher.stats.CountUnanswered();
  bool slow = searcher.stats.samples() >= kMinSamples &&
              IsOutlier(searcher.stats.latency(), peer_latency);
  if (slow || searcher.stats.consecutive_unanswered() >= kEjectAfterUnanswered)
    Eject(index, now);
}

void OutlierDetector::OnFailure(SearcherIndex index,
                                bool probe,
                                TimePoint now) {
  Searcher& searcher = directory_.at(index);
  if (searcher.ejection.ejected()) {
    if (probe)
      Eject(index, now);
    return;
  }
  searcher.ejection.EndProbe();
  std::uint32_t bound =
      searcher.unreachable ? kEjectAfterConnectFailures : kEjectAfterFailures;
  if (searcher.stats.consecutive_failures() >= bound ||
      searcher.stats.failure_rate() > kMaxFailureRate)
    Eject(index, now);
}

void OutlierDetector::OnUnhealthyReport(SearcherIndex index, TimePoint now) {
  const Searcher& searcher = directory_.at(index);
  bool works = searcher.stats.samples() > 0 &&
               searcher.stats.consecutive_failures() == 0 &&
               searcher.stats.failure_rate() < kMaxFailureRate &&
               now - searcher.stats.last_observed() < kRecentSuccess;
  if (!searcher.ejection.ejected() && !works)
    Eject(index, now);
}

void OutlierDetector::OnHealthyReport(SearcherIndex index, TimePoint now) {
  Searcher& searcher = directory_.at(index);
  // A report proves that the searcher is reachable again. It says nothing about
  // latency or wrong replies, so other ejections end only by a probe.
  if (searcher.unreachable && searcher.ejection.IsProbeDue(now)) {
    searcher.unreachable = false;
    Uneject(index, now);
  }
}

}  // namespace jujubecove
