#pragma once

#include <vector>

#include "base/units.h"
#include "routing/replica_selector.h"
#include "routing/searcher.h"
#include "routing/searcher_directory.h"

namespace jujubecove {

// Decides from observations which searchers are ejected and when they return.
class OutlierDetector {
 public:
  OutlierDetector(SearcherDirectory& directory, const ReplicaSelector& selector)
      : directory_(directory), selector_(selector) {}

  // Median latency of the searcher's peers in microseconds; zero when too
  // little is known of them.
  double PeerLatency(SearcherIndex index) const;
  // A reply told the latency, or a lower bound for it. `probe` tells whether it
  // was sent to an ejected searcher on purpose.
  void OnLatency(SearcherIndex index,
                 double latency,
                 bool answered,
                 bool probe,
                 TimePoint now);
  void OnFailure(SearcherIndex index, bool probe, TimePoint now);
  void OnUnhealthyReport(SearcherIndex index, TimePoint now);
  void OnHealthyReport(SearcherIndex index, TimePoint now);

 private:
  bool IsSlow(double latency, double peers) const;
  bool MayEject(SearcherIndex index, TimePoint now) const;
  void Eject(SearcherIndex index, TimePoint now);
  // Takes a less slow searcher back where the floor would keep a slower one in
  // use.
  void MakeRoom(SearcherIndex index, TimePoint now);
  void Lift(SearcherIndex index, TimePoint now);

  SearcherDirectory& directory_;
  const ReplicaSelector& selector_;
  mutable std::vector<double> peers_;
};

}  // namespace jujubecove
