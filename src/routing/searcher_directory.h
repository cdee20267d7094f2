#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "base/ids.h"
#include "base/units.h"
#include "routing/replica_groups.h"
#include "routing/router.h"
#include "routing/searcher.h"
#include "upstream/upstream_transport.h"

namespace jujubecove {

// The searchers of all services: who they are, whether they are leaving and
// what they are believed to hold.
class SearcherDirectory {
 public:
  // Number of a service; given out on first use.
  ServiceIndex InternService(const ServiceName& service);
  std::optional<ServiceIndex> FindService(const ServiceName& service) const;

  // kNoSearcher for an unknown id.
  SearcherIndex Find(const SearcherId& id) const;
  Searcher& at(SearcherIndex index) { return searchers_[index]; }
  const Searcher& at(SearcherIndex index) const { return searchers_[index]; }
  std::size_t capacity() const { return searchers_.size(); }

  void ApplyVmList(const std::vector<SearcherVm>& records, TimePoint now);
  // Takes over identity, holdings and the draining state. Returns the searcher,
  // or kNoSearcher for a report without an id or a service.
  SearcherIndex ApplyReport(const SearcherReport& report, TimePoint now);
  // The searcher itself said that it drains.
  void OnDrainSign(SearcherIndex index, TimePoint now);
  // The searcher read this shard under this map and version.
  void Learn(SearcherIndex index,
             ShardMapVersion map_version,
             const ShardId& shard,
             IndexVersion index_version);
  // The searcher refused the version, or with no version the whole map.
  void Correct(SearcherIndex index,
               ShardMapVersion map_version,
               std::optional<IndexVersion> index_version,
               TimePoint now);

  // Whether the list names the searcher or it answered a moment ago.
  bool IsPresent(const Searcher& searcher, TimePoint now) const;

  const ReplicaGroups& groups() const { return groups_; }
  // Changes with everything on which a choice of map or version depends.
  std::uint64_t generation() const { return generation_; }
  void Touch() { ++generation_; }

 private:
  SearcherIndex Intern(const SearcherId& id, const ServiceName& service);
  void SetHoldings(SearcherIndex index, std::vector<Holding> holdings);
  void Unlist(const std::vector<bool>& named, TimePoint now);
  void Forget(SearcherIndex index);

  std::unordered_map<ServiceName, ServiceIndex> services_;
  std::vector<ServiceName> service_names_;
  // A deque keeps references valid while it grows.
  std::deque<Searcher> searchers_;
  std::unordered_map<SearcherId, SearcherIndex> indices_;
  std::vector<SearcherIndex> free_;
  ReplicaGroups groups_;
  std::uint64_t generation_ = 0;
};

}  // namespace jujubecove
