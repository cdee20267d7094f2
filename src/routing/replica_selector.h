#pragma once

#include <cstddef>

#include "base/random.h"
#include "base/units.h"
#include "routing/router.h"
#include "routing/searcher.h"
#include "routing/searcher_directory.h"
#include "routing/service_routing_state.h"

namespace jujubecove {

// Numbers of replicas of one group. Each member counts a subset of the one
// before it.
struct ReplicaCounts {
  std::size_t not_draining = 0;
  std::size_t present = 0;
  std::size_t active = 0;

  // Ejections must leave this many active: half, rounded up.
  std::size_t min_active() const { return (not_draining + 1) / 2; }
};

// Selects the replica with the least expected wait.
class ReplicaSelector {
 public:
  ReplicaSelector(SearcherDirectory& directory, RandomEngine& random)
      : directory_(directory), random_(random) {}

  ReplicaChoice Select(const ReplicaGroup& group,
                       const ReplicaRequest& request,
                       ServiceRoutingState& service,
                       TimePoint now);
  ReplicaCounts CountReplicas(const ReplicaGroup& group, TimePoint now) const;
  // Whether the replica may be chosen. Presence is ignored if no replica is
  // present, and ejection if too few are active.
  bool IsUsable(const Replica& replica,
                const ReplicaCounts& counts,
                TimePoint now) const;

 private:
  struct Selection;

  void ConsiderReplica(const Replica& replica, Selection& selection);
  void ConsiderForProbe(const Searcher& searcher,
                        SearcherIndex index,
                        Selection& selection);
  double ExpectedWait(const Searcher& searcher, const Selection& selection);
  ReplicaChoice MakeChoice(Selection& selection);

  SearcherDirectory& directory_;
  RandomEngine& random_;
};

}  // namespace jujubecove
