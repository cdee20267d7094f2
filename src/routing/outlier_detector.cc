#include "routing/outlier_detector.h"

#include <algorithm>
#include <cstddef>

namespace jujubecove {
namespace {

// Smoothed latency over that of the peers at which a searcher is an outlier.
constexpr double kSlowFactor = 3;
// Differences below this are of no use to eject for, in microseconds.
constexpr double kSlowMargin = 1000;
// An attempt that is cancelled because a hedge won shows only a lower bound of
// the latency, which can stay below the outlier bound for ever. This many in a
// row, each later than this multiple of the peers, are an outlier too; a
// healthy searcher has one such attempt in 50.
constexpr double kLateFactor = 2;
constexpr std::uint32_t kUnansweredInARow = 3;
constexpr std::uint32_t kEnoughSamples = 3;
constexpr std::uint32_t kFailuresInARow = 3;
constexpr std::uint32_t kUnreachableInARow = 2;
constexpr double kFailureRate = 0.3;
// How much faster an ejected searcher must have been to return in place of one
// that is now found to be an outlier.
constexpr double kExchangeFactor = 2;
// How recent an own success must be to outweigh a report of ill health.
constexpr Duration kRecentSuccess{1'000'000};

}  // namespace

double OutlierDetector::PeerLatency(SearcherIndex index) const {
  for (const ReplicaGroup* group : directory_.at(index).groups) {
    peers_.clear();
    for (const Replica& replica : group->replicas) {
      const Searcher& peer = directory_.at(replica.searcher);
      if (replica.searcher != index && !peer.ejection.ejected() &&
          peer.stats.samples() >= kEnoughSamples)
        peers_.push_back(peer.stats.latency());
    }
    if (peers_.empty())
      continue;
    auto middle =
        peers_.begin() + static_cast<std::ptrdiff_t>((peers_.size() - 1) / 2);
    std::nth_element(peers_.begin(), middle, peers_.end());
    return *middle;
  }
  return 0;
}

bool OutlierDetector::IsSlow(double latency, double peers) const {
  return peers > 0 && latency > kSlowFactor * peers &&
         latency > peers + kSlowMargin;
}

bool OutlierDetector::MayEject(SearcherIndex index, TimePoint now) const {
  const Searcher& searcher = directory_.at(index);
  if (searcher.groups.empty() || searcher.leaving())
    return false;
  return std::all_of(searcher.groups.begin(), searcher.groups.end(),
                     [this, now](const ReplicaGroup* group) {
                       PoolState pool = selector_.Survey(*group, now);
                       return pool.active > pool.floor();
                     });
}

void OutlierDetector::Eject(SearcherIndex index, TimePoint now) {
  Searcher& searcher = directory_.at(index);
  if (!searcher.ejection.ejected() && !MayEject(index, now)) {
    MakeRoom(index, now);
    if (!MayEject(index, now))
      return;
  }
  searcher.ejection.Eject(now);
  directory_.Touch();
}

void OutlierDetector::MakeRoom(SearcherIndex index, TimePoint now) {
  const SearcherStats& stats = directory_.at(index).stats;
  for (const ReplicaGroup* group : directory_.at(index).groups) {
    SearcherIndex best = kNoSearcher;
    double best_latency = stats.latency() / kExchangeFactor;
    for (const Replica& replica : group->replicas) {
      const Searcher& peer = directory_.at(replica.searcher);
      if (peer.ejection.ejected() && !peer.leaving() &&
          peer.stats.samples() > 0 &&
          peer.stats.failure_rate() <= stats.failure_rate() &&
          peer.stats.latency() < best_latency) {
        best = replica.searcher;
        best_latency = peer.stats.latency();
      }
    }
    if (best != kNoSearcher)
      Lift(best, now);
  }
}

void OutlierDetector::Lift(SearcherIndex index, TimePoint now) {
  Searcher& searcher = directory_.at(index);
  searcher.ejection.Lift(now);
  searcher.limit.Restart();
  directory_.Touch();
}

void OutlierDetector::OnLatency(SearcherIndex index,
                                double latency,
                                bool answered,
                                bool probe,
                                TimePoint now) {
  Searcher& searcher = directory_.at(index);
  double peers = PeerLatency(index);
  if (searcher.ejection.ejected()) {
    if (!probe)
      return;
    // The probe alone decides: what was observed before the ejection is old.
    if (!answered || IsSlow(latency, peers)) {
      Eject(index, now);
      return;
    }
    searcher.stats.ResetLatency();
    searcher.stats.ObserveSuccess(Duration(static_cast<Duration::rep>(latency)),
                                  now);
    Lift(index, now);
    return;
  }
  searcher.ejection.EndProbe();
  searcher.stats.CheckReport(peers, searcher.limit.slots(), now);
  if (!answered && peers > 0 && latency > kLateFactor * peers)
    searcher.stats.CountUnanswered();
  bool slow = searcher.stats.samples() >= kEnoughSamples &&
              IsSlow(searcher.stats.latency(), peers);
  if (slow || searcher.stats.unanswered_streak() >= kUnansweredInARow)
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
      searcher.unreachable ? kUnreachableInARow : kFailuresInARow;
  if (searcher.stats.failure_streak() >= bound ||
      searcher.stats.failure_rate() > kFailureRate)
    Eject(index, now);
}

void OutlierDetector::OnUnhealthyReport(SearcherIndex index, TimePoint now) {
  const Searcher& searcher = directory_.at(index);
  bool works = searcher.stats.samples() > 0 &&
               searcher.stats.failure_streak() == 0 &&
               searcher.stats.failure_rate() < kFailureRate &&
               now - searcher.stats.last_observed() < kRecentSuccess;
  if (!searcher.ejection.ejected() && !works)
    Eject(index, now);
}

void OutlierDetector::OnHealthyReport(SearcherIndex index, TimePoint now) {
  Searcher& searcher = directory_.at(index);
  // A searcher that could not be reached has answered again. Reports say
  // nothing of slowness or of wrong answers, so other ejections need a probe.
  if (searcher.unreachable && searcher.ejection.IsProbeDue(now)) {
    searcher.unreachable = false;
    Lift(index, now);
  }
}

}  // namespace jujubecove
