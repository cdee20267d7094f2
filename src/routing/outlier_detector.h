#pragma once

#include <vector>

#include "base/units.h"
#include "routing/replica_selector.h"
#include "routing/searcher.h"
#include "routing/searcher_directory.h"

namespace jujubecove {

// Outlier detection: decides which searchers are ejected and when an ejection
// ends.
class OutlierDetector {
 public:
  OutlierDetector(SearcherDirectory& directory, const ReplicaSelector& selector)
      : directory_(directory), selector_(selector) {}

  // Median latency of the searcher's peers in microseconds; 0 if no peer has
  // enough samples.
  double MedianPeerLatency(SearcherIndex index) const;
  // An attempt ended after `latency`. If it was not `answered`, that is a lower
  // bound. `probe` is set for an attempt that was chosen as a probe.
  void OnLatency(SearcherIndex index,
                 double latency,
                 bool answered,
                 bool probe,
                 TimePoint now);
  void OnFailure(SearcherIndex index, bool probe, TimePoint now);
  void OnUnhealthyReport(SearcherIndex index, TimePoint now);
  void OnHealthyReport(SearcherIndex index, TimePoint now);

 private:
  bool IsOutlier(double latency, double peer_latency) const;
  bool MayEject(SearcherIndex index, TimePoint now) const;
  void Eject(SearcherIndex index, TimePoint now);
  // Ends ejections of peers that are much faster than this searcher, so that it
  // can be ejected in their place.
  void UnejectFasterPeers(SearcherIndex index, TimePoint now);
  void Uneject(SearcherIndex index, TimePoint now);

  SearcherDirectory& directory_;
  const ReplicaSelector& selector_;
  mutable std::vector<double> peer_latencies_;
};

}  // namespace jujubecove
