#include "routing/searcher_directory.h"

#include <algorithm>
#include <utility>

namespace jujubecove {
namespace {

// A searcher that the list does not name serves on for this long after its last
// answer. Reports are fetched several times in this span.
constexpr Duration kEvidenceLifetime{10'000'000};
// Reports that follow a drain sign may be older than it; a searcher that really
// returned says so for longer than this.
constexpr Duration kDrainHold{10'000'000};
// A report may be older than the refusal that contradicts it. Holding on for
// longer leaves out searchers that have loaded the version meanwhile.
constexpr Duration kCorrectionHold{500'000};
// After this long without a sign of life the address may serve another VM.
constexpr Duration kForgetAfter{600'000'000};
// Bounds on what one searcher can make a daemon remember.
constexpr std::size_t kMostHoldings = 4;
constexpr std::size_t kMostShards = 1024;
constexpr std::size_t kMostVersions = 16;

template <typename T>
void SortUnique(std::vector<T>& values, std::size_t most) {
  std::sort(values.begin(), values.end(), std::greater<>());
  values.erase(std::unique(values.begin(), values.end()), values.end());
  if (values.size() > most)
    values.resize(most);
}

bool IsCorrected(const Searcher& searcher,
                 ShardMapVersion map,
                 std::optional<IndexVersion> version,
                 TimePoint now) {
  return std::any_of(searcher.corrections.begin(), searcher.corrections.end(),
                     [&](const Correction& it) {
                       return it.map_version == map &&
                              it.index_version == version && now < it.until;
                     });
}

std::vector<Holding> Believable(const SearcherReport& report,
                                const Searcher& searcher,
                                TimePoint now) {
  std::vector<Holding> holdings;
  for (const SearcherReport::Holding& held : report.holdings) {
    if (IsCorrected(searcher, held.map_version, std::nullopt, now))
      continue;
    Holding holding{held.map_version, held.shards, held.index_versions};
    std::erase_if(holding.index_versions, [&](IndexVersion version) {
      return IsCorrected(searcher, held.map_version, version, now);
    });
    SortUnique(holding.shards, kMostShards);
    SortUnique(holding.index_versions, kMostVersions);
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
  if (holdings.size() > kMostHoldings)
    holdings.resize(kMostHoldings);
  return holdings;
}

}  // namespace

ServiceIndex SearcherDirectory::InternService(const ServiceName& service) {
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

SearcherIndex SearcherDirectory::Intern(const SearcherId& id,
                                        const ServiceName& service) {
  if (id.value().empty() || service.value().empty())
    return kNoSearcher;
  ServiceIndex service_index = InternService(service);
  SearcherIndex index = Find(id);
  if (index != kNoSearcher && searchers_[index].service != service_index) {
    // The address was given to a searcher of another service.
    if (searchers_[index].in_flight > 0)
      return kNoSearcher;
    Forget(index);
    index = kNoSearcher;
  }
  if (index != kNoSearcher)
    return index;
  if (free_.empty()) {
    index = static_cast<SearcherIndex>(searchers_.size());
    searchers_.emplace_back();
  } else {
    index = free_.back();
    free_.pop_back();
  }
  Searcher& searcher = searchers_[index];
  searcher.id = id;
  searcher.service = service_index;
  indices_.emplace(id, index);
  return index;
}

void SearcherDirectory::ApplyVmList(const std::vector<SearcherVm>& records,
                                    TimePoint now) {
  std::vector<bool> named(searchers_.size(), false);
  for (const SearcherVm& record : records) {
    SearcherIndex index = Intern(record.searcher, record.service);
    if (index == kNoSearcher)
      continue;
    Searcher& searcher = searchers_[index];
    searcher.listed = true;
    searcher.list_leaving = record.leaving;
    searcher.zone = record.zone;
    named.resize(searchers_.size(), false);
    named[index] = true;
  }
  Unlist(named, now);
  Touch();
}

void SearcherDirectory::Unlist(const std::vector<bool>& named, TimePoint now) {
  for (SearcherIndex index = 0; index < searchers_.size(); ++index) {
    Searcher& searcher = searchers_[index];
    if (named[index] || searcher.id.value().empty())
      continue;
    // A VM that vanishes while it leaves is still leaving.
    searcher.listed = false;
    if (searcher.in_flight == 0 && now - kForgetAfter > searcher.last_evidence)
      Forget(index);
  }
}

void SearcherDirectory::Forget(SearcherIndex index) {
  Searcher& searcher = searchers_[index];
  groups_.RemoveAll(service_names_[searcher.service], index, searcher);
  indices_.erase(searcher.id);
  searcher = Searcher{};
  free_.push_back(index);
  Touch();
}

SearcherIndex SearcherDirectory::ApplyReport(const SearcherReport& report,
                                             TimePoint now) {
  SearcherIndex index = Intern(report.searcher, report.service);
  if (index == kNoSearcher)
    return kNoSearcher;
  Searcher& searcher = searchers_[index];
  searcher.last_evidence = now;
  std::erase_if(searcher.corrections,
                [now](const Correction& it) { return now >= it.until; });
  if (report.draining)
    OnDrainSign(index, now);
  else if (searcher.drain_sign && now - *searcher.drain_sign >= kDrainHold)
    searcher.drain_sign.reset();
  SetHoldings(index, Believable(report, searcher, now));
  return index;
}

void SearcherDirectory::SetHoldings(SearcherIndex index,
                                    std::vector<Holding> holdings) {
  Searcher& searcher = searchers_[index];
  if (searcher.holdings == holdings)
    return;
  const ServiceName& service = service_names_[searcher.service];
  groups_.RemoveAll(service, index, searcher);
  searcher.holdings = std::move(holdings);
  for (const Holding& holding : searcher.holdings)
    groups_.Add(service, index, searcher, holding);
  Touch();
}

void SearcherDirectory::OnDrainSign(SearcherIndex index, TimePoint now) {
  Searcher& searcher = searchers_[index];
  if (!searcher.drain_sign)
    Touch();
  searcher.drain_sign = now;
}

void SearcherDirectory::Learn(SearcherIndex index,
                              ShardMapVersion map_version,
                              const ShardId& shard,
                              IndexVersion index_version) {
  const Searcher& searcher = searchers_[index];
  auto matches = [map_version](const Holding& it) {
    return it.map_version == map_version;
  };
  auto found =
      std::find_if(searcher.holdings.begin(), searcher.holdings.end(), matches);
  // A reply can extend what a searcher reported, but not invent a map.
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
  SortUnique(versions, kMostVersions);
  SetHoldings(index, std::move(holdings));
}

void SearcherDirectory::Correct(SearcherIndex index,
                                ShardMapVersion map_version,
                                std::optional<IndexVersion> index_version,
                                TimePoint now) {
  Searcher& searcher = searchers_[index];
  std::erase_if(searcher.corrections, [&](const Correction& it) {
    return now >= it.until ||
           (it.map_version == map_version && it.index_version == index_version);
  });
  searcher.corrections.push_back(
      Correction{map_version, index_version, now + kCorrectionHold});
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
  return searcher.listed || now - kEvidenceLifetime <= searcher.last_evidence;
}

}  // namespace jujubecove
