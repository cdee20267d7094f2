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

// The searchers of all services, with their draining state and their holdings.
class SearcherDirectory {
 public:
  ServiceIndex FindOrAddService(const ServiceName& service);
  std::optional<ServiceIndex> FindService(const ServiceName& service) const;

  // kNoSearcher for an unknown id.
  SearcherIndex Find(const SearcherId& id) const;
  Searcher& at(SearcherIndex index) { return searchers_[index]; }
  const Searcher& at(SearcherIndex index) const { return searchers_[index]; }
  std::size_t capacity() const { return searchers_.size(); }

  void ApplyVmList(const std::vector<SearcherVm>& vms, TimePoint now);
  // Updates the searcher's holdings and draining state. Returns kNoSearcher if
  // the report has no id or service, or if its address still has requests in
  // flight to a searcher of another service.
  SearcherIndex ApplyReport(const SearcherReport& report, TimePoint now);
  // The searcher reported that it is draining.
  void OnDrainSignal(SearcherIndex index, TimePoint now);
  // The searcher answered for this shard under this map and version.
  void AddObservedVersion(SearcherIndex index,
                          ShardMapVersion map_version,
                          const ShardId& shard,
                          IndexVersion index_version);
  // A reply showed that the searcher does not hold the version, or the whole
  // map if no version is given.
  void MarkMissing(SearcherIndex index,
                   ShardMapVersion map_version,
                   std::optional<IndexVersion> index_version,
                   TimePoint now);

  // Whether the platform lists the searcher or it answered recently.
  bool IsPresent(const Searcher& searcher, TimePoint now) const;

  const ReplicaGroups& groups() const { return groups_; }
  // Incremented whenever the choice of map or version may change, except by the
  // passing of time.
  std::uint64_t generation() const { return generation_; }
  void IncrementGeneration() { ++generation_; }

 private:
  SearcherIndex FindOrAdd(const SearcherId& id, const ServiceName& service);
  void SetHoldings(SearcherIndex index, std::vector<Holding> holdings);
  void MarkUnlisted(const std::vector<bool>& in_list, TimePoint now);
  void Remove(SearcherIndex index);

  std::unordered_map<ServiceName, ServiceIndex> services_;
  std::vector<ServiceName> service_names_;
  // A deque, so that references stay valid when it grows.
  std::deque<Searcher> searchers_;
  std::unordered_map<SearcherId, SearcherIndex> indices_;
  std::vector<SearcherIndex> free_indices_;
  ReplicaGroups groups_;
  std::uint64_t generation_ = 0;
};

}  // namespace jujubecove
