#include "routing/searcher_directory.h"

#include <algorithm>
#include <utility>

namespace jujubecove {
namespace {

// An unlisted searcher stays in use for this long after its last reply or
// report. Reports are fetched several times within it.
constexpr Duration kResponseLifetime{10'000'000};
// After a drain signal, reports without one are ignored for this long, since
// they may be older. A searcher that is back in service reports so for longer.
constexpr Duration kDrainSignalLifetime{10'000'000};
// A report may be older than the refusal that contradicts it. A longer time
// would exclude searchers that have loaded the version since.
constexpr Duration kMissingLifetime{500'000};
// After this long without a reply the address may belong to another VM.
constexpr Duration kRemoveAfter{600'000'000};
// Bound the memory that the reports of one searcher can take.
constexpr std::size_t kMaxHoldings = 4;
constexpr std::size_t kMaxShards = 1024;
constexpr std::size_t kMaxVersions = 16;

template <typename T>
void SortUnique(std::vector<T>& values, std::size_t max_size) {
  std::sort(values.begin(), values.end(), std::greater<>());
  values.erase(std::unique(values.begin(), values.end()), values.end());
  if (values.size() > max_size)
    values.resize(max_size);
}

bool IsKnownMissing(const Searcher& searcher,
                    ShardMapVersion map,
                    std::optional<IndexVersion> version,
                    TimePoint now) {
  return std::any_of(searcher.missing_holdings.begin(),
                     searcher.missing_holdings.end(),
                     [&](const MissingHolding& it) {
                       return it.map_version == map &&
                              it.index_version == version && now < it.until;
                     });
}

std::vector<Holding> FilterHoldings(const SearcherReport& report,
                                    const Searcher& searcher,
                                    TimePoint now) {
  std::vector<Holding> holdings;
  for (const SearcherReport::Holding& held : report.holdings) {
    if (IsKnownMissing(searcher, held.map_version, std::nullopt, now))
      continue;
    Holding holding{held.map_version, held.shards, held.index_versions};
    std::erase_if(holding.index_versions, [&](IndexVersion version) {
      return IsKnownMissing(searcher, held.map_version, version, now);
    });
    SortUnique(holding.shards, kMaxShards);
    SortUnique(holding.index_versions, kMaxVersions);
    holdings.push_back(std::move(holding));
  }
  std::stable_sort(holdings.begin(), holdings.end(),
                   [](const Holding& a, const Holding& b) {
                     return a.map_version > b.map_version;
                   });
  auto last = std::unique(holdings.begin(), holdings.end(),
                          [](const Holding& a, const Holding& b) {
                            return a.map_version == b.map_version;
                          });
  holdings.erase(last, holdings.end());
  if (holdings.size() > kMaxHoldings)
    holdings.resize(kMaxHoldings);
  return holdings;
}

}  // namespace

ServiceIndex SearcherDirectory::FindOrAddService(const ServiceName& service) {
  auto [it, inserted] = services_.emplace(
      service, static_cast<ServiceIndex>(service_names_.size()));
  if (inserted)
    service_names_.push_back(service);
  return it->second;
}

std::optional<ServiceIndex> SearcherDirectory::FindService(
    const ServiceName& service) const {
  auto it = services_.find(service);
  if (it == services_.end())
    return std::nullopt;
  return it->second;
}

SearcherIndex SearcherDirectory::Find(const SearcherId& id) const {
  auto it = indices_.find(id);
  return it == indices_.end() ? kNoSearcher : it->second;
}

SearcherIndex SearcherDirectory::FindOrAdd(const SearcherId& id,
                                           const ServiceName& service) {
  if (id.value().empty() || service.value().empty())
    return kNoSearcher;
  ServiceIndex service_index = FindOrAddService(service);
  SearcherIndex index = Find(id);
  if (index != kNoSearcher && searchers_[index].service != service_index) {
    // The address now belongs to a searcher of another service.
    if (searchers_[index].in_flight > 0)
      return kNoSearcher;
    Remove(index);
    index = kNoSearcher;
  }
  if (index != kNoSearcher)
    return index;
  if (free_indices_.empty()) {
    index = static_cast<SearcherIndex>(searchers_.size());
    searchers_.emplace_back();
  } else {
    index = free_indices_.back();
    free_indices_.pop_back();
  }
  Searcher& searcher = searchers_[index];
  searcher.id = id;
  searcher.service = service_index;
  indices_.emplace(id, index);
  return index;
}

void SearcherDirectory::ApplyVmList(const std::vector<SearcherVm>& vms,
                                    TimePoint now) {
  std::vector<bool> in_list(searchers_.size(), false);
  for (const SearcherVm& vm : vms) {
    SearcherIndex index = FindOrAdd(vm.searcher, vm.service);
    if (index == kNoSearcher)
      continue;
    Searcher& searcher = searchers_[index];
    searcher.listed = true;
    searcher.vm_leaving = vm.leaving;
    searcher.zone = vm.zone;
    in_list.resize(searchers_.size(), false);
    in_list[index] = true;
  }
  MarkUnlisted(in_list, now);
  IncrementGeneration();
}

void SearcherDirectory::MarkUnlisted(const std::vector<bool>& in_list,
                                     TimePoint now) {
  for (SearcherIndex index = 0; index < searchers_.size(); ++index) {
    Searcher& searcher = searchers_[index];
    if (in_list[index] || searcher.id.value().empty())
      continue;
    // Keep the draining state: an unlisted VM that was leaving still is.
    searcher.listed = false;
    if (searcher.in_flight == 0 && now - kRemoveAfter > searcher.last_response)
      Remove(index);
  }
}

void SearcherDirectory::Remove(SearcherIndex index) {
  Searcher& searcher = searchers_[index];
  groups_.RemoveSearcher(service_names_[searcher.service], index, searcher);
  indices_.erase(searcher.id);
  searcher = Searcher{};
  free_indices_.push_back(index);
  IncrementGeneration();
}

SearcherIndex SearcherDirectory::ApplyReport(const SearcherReport& report,
                                             TimePoint now) {
  SearcherIndex index = FindOrAdd(report.searcher, report.service);
  if (index == kNoSearcher)
    return kNoSearcher;
  Searcher& searcher = searchers_[index];
  searcher.last_response = now;
  std::erase_if(searcher.missing_holdings,
                [now](const MissingHolding& it) { return now >= it.until; });
  if (report.draining)
    OnDrainSignal(index, now);
  else if (searcher.drain_signal_at &&
           now - *searcher.drain_signal_at >= kDrainSignalLifetime)
    searcher.drain_signal_at.reset();
  SetHoldings(index, FilterHoldings(report, searcher, now));
  return index;
}

void SearcherDirectory::SetHoldings(SearcherIndex index,
                                    std::vector<Holding> holdings) {
  Searcher& searcher = searchers_[index];
  if (searcher.holdings == holdings)
    return;
  const ServiceName& service = service_names_[searcher.service];
  groups_.RemoveSearcher(service, index, searcher);
  searcher.holdings = std::move(holdings);
  for (const Holding& holding : searcher.holdings)
    groups_.Add(service, index, searcher, holding);
  IncrementGeneration();
}

void SearcherDirectory::OnDrainSignal(SearcherIndex index, TimePoint now) {
  Searcher& searcher = searchers_[index];
  if (!searcher.drain_signal_at)
    IncrementGeneration();
  searcher.drain_signal_at = now;
}

void SearcherDirectory::AddObservedVersion(SearcherIndex index,
                                           ShardMapVersion map_version,
                                           const ShardId& shard,
                                           IndexVersion index_version) {
  const Searcher& searcher = searchers_[index];
  auto matches = [map_version](const Holding& it) {
    return it.map_version == map_version;
  };
  auto found =
      std::find_if(searcher.holdings.begin(), searcher.holdings.end(), matches);
  // A reply can add a version to reported holdings, but not a map or a shard.
  if (found == searcher.holdings.end() ||
      std::find(found->shards.begin(), found->shards.end(), shard) ==
          found->shards.end() ||
      std::find(found->index_versions.begin(), found->index_versions.end(),
                index_version) != found->index_versions.end())
    return;
  std::vector<Holding> holdings = searcher.holdings;
  std::vector<IndexVersion>& versions =
      std::find_if(holdings.begin(), holdings.end(), matches)->index_versions;
  versions.push_back(index_version);
  SortUnique(versions, kMaxVersions);
  SetHoldings(index, std::move(holdings));
}

void SearcherDirectory::MarkMissing(SearcherIndex index,
                                    ShardMapVersion map_version,
                                    std::optional<IndexVersion> index_version,
                                    TimePoint now) {
  Searcher& searcher = searchers_[index];
  std::erase_if(searcher.missing_holdings, [&](const MissingHolding& it) {
    return now >= it.until ||
           (it.map_version == map_version && it.index_version == index_version);
  });
  searcher.missing_holdings.push_back(
      MissingHolding{map_version, index_version, now + kMissingLifetime});
  std::vector<Holding> holdings = searcher.holdings;
  if (!index_version) {
    std::erase_if(holdings, [map_version](const Holding& it) {
      return it.map_version == map_version;
    });
  }
  for (Holding& holding : holdings) {
    if (index_version && holding.map_version == map_version)
      std::erase(holding.index_versions, *index_version);
  }
  SetHoldings(index, std::move(holdings));
}

bool SearcherDirectory::IsPresent(const Searcher& searcher,
                                  TimePoint now) const {
  return searcher.listed || now - kResponseLifetime <= searcher.last_response;
}

}  // namespace jujubecove
