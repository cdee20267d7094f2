#pragma once

#include <cstddef>

#include "base/random.h"
#include "base/units.h"
#include "routing/router.h"
#include "routing/searcher.h"
#include "routing/searcher_directory.h"
#include "routing/service_state.h"

namespace jujubecove {

// Which replicas of a group may be used at one moment.
struct PoolState {
  std::size_t staying = 0;
  std::size_t present = 0;
  std::size_t active = 0;

  // The floor of the ejection: half of the staying replicas, rounded up.
  std::size_t floor() const { return (staying + 1) / 2; }
};

// Selects the replica with the least expected wait.
class ReplicaSelector {
 public:
  ReplicaSelector(SearcherDirectory& directory, RandomEngine& random)
      : directory_(directory), random_(random) {}

  ReplicaChoice Select(const ReplicaGroup& group,
                       const ReplicaRequest& request,
                       ServiceState& service,
                       TimePoint now);
  PoolState Survey(const ReplicaGroup& group, TimePoint now) const;
  // Whether the replica takes part: it stays and is present and not ejected, as
  // far as that leaves the pool its floor.
  bool IsUsable(const Replica& replica,
                const PoolState& pool,
                TimePoint now) const;

 private:
  struct Search;

  void Consider(const Replica& replica, Search& search);
  void ConsiderProbe(const Searcher& searcher,
                     SearcherIndex index,
                     Search& search);
  double ExpectedWait(const Searcher& searcher, const Search& search);
  ReplicaChoice Conclude(Search& search);

  SearcherDirectory& directory_;
  RandomEngine& random_;
};

}  // namespace jujubecove
