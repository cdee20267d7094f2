#include "upstream/report_poller.h"

#include <chrono>
#include <random>
#include <string>
#include <utility>

#include "upstream/wire.h"

namespace jujubecove {
namespace {

constexpr Duration kPollInterval = std::chrono::seconds(1);
// Spreads the polls of searchers that were added at the same time.
constexpr Duration kPollJitter = std::chrono::milliseconds(250);
// Limits the memory that searchers can use up by stating ever more map
// versions. Only a few are in use at a time.
constexpr std::size_t kMaxMapsPerService = 64;
constexpr unsigned kStatusOk = 200;

}  // namespace

ReportPoller::ReportPoller(HttpUpstreamTransport& transport,
                           TimerService& timer,
                           std::uint64_t seed)
    : transport_(transport), timer_(timer), random_(seed) {
  transport_.SetSearcherHandler(
      [this](const SearcherId& id, bool added) { OnSearcher(id, added); });
  transport_.SetValidReplyHandler(
      [this](const SearcherId& id, std::optional<std::uint64_t> generation) {
        OnValidReply(id, generation);
      });
}

ReportPoller::~ReportPoller() {
  *alive_ = false;
  transport_.SetSearcherHandler(nullptr);
  transport_.SetValidReplyHandler(nullptr);
  for (auto& [id, searcher] : searchers_)
    timer_.Cancel(searcher.timer);
}

void ReportPoller::SetReportHandler(ReportHandler handler) {
  report_handler_ = std::move(handler);
}

void ReportPoller::SetMapHandler(MapHandler handler) {
  map_handler_ = std::move(handler);
}

void ReportPoller::OnSearcher(const SearcherId& id, bool added) {
  if (!added) {
    auto it = searchers_.find(id);
    if (it == searchers_.end())
      return;
    timer_.Cancel(it->second.timer);
    searchers_.erase(it);
    return;
  }
  // The pool opens connections only after this returns, so the first fetch is
  // left to a timer without delay.
  Searcher& searcher = searchers_[id];
  searcher.timer = timer_.ScheduleAfter(Duration(0), [this, id] { Poll(id); });
}

void ReportPoller::OnValidReply(const SearcherId& id,
                                std::optional<std::uint64_t> generation) {
  auto it = searchers_.find(id);
  if (it == searchers_.end())
    return;
  Searcher& searcher = it->second;
  searcher.last_reply = timer_.Now();
  if (!generation || searcher.fetching ||
      generation == searcher.fetched_generation ||
      generation == searcher.announced_generation)
    return;
  searcher.announced_generation = generation;
  FetchReport(id, searcher);
}

void ReportPoller::SchedulePoll(const SearcherId& id,
                                Searcher& searcher,
                                TimePoint from) {
  std::uniform_int_distribution<Duration::rep> jitter(0, kPollJitter.count());
  TimePoint when = from + kPollInterval + Duration(jitter(random_));
  searcher.timer = timer_.ScheduleAt(when, [this, id] { Poll(id); });
}

void ReportPoller::Poll(const SearcherId& id) {
  Searcher& searcher = searchers_.at(id);
  TimePoint now = timer_.Now();
  bool quiet = now - searcher.last_reply >= kPollInterval;
  if (!searcher.fetching && (quiet || !searcher.fetched_generation)) {
    FetchReport(id, searcher);
    SchedulePoll(id, searcher, now);
  } else {
    SchedulePoll(id, searcher, searcher.fetching ? now : searcher.last_reply);
  }
}

void ReportPoller::FetchReport(const SearcherId& id, Searcher& searcher) {
  searcher.fetching = true;
  transport_.Fetch(id, std::string(wire::kReportPath),
                   [this, id, alive = alive_](ParsedReply* reply) {
                     if (*alive)
                       HandleReport(id, reply);
                   });
}

void ReportPoller::HandleReport(const SearcherId& id, ParsedReply* reply) {
  auto it = searchers_.find(id);
  if (it == searchers_.end())
    return;
  it->second.fetching = false;
  it->second.fetched_generation.reset();
  if (reply == nullptr || reply->status != kStatusOk)
    return;
  Result<VersionedReport> decoded = DecodeReport(id, reply->body);
  if (!decoded || !report_handler_(decoded.value().report))
    return;
  transport_.upstream_stats().reports_fetched.Add(1);
  it->second.fetched_generation = decoded.value().generation;
  FetchMaps(decoded.value().report);
}

void ReportPoller::FetchMaps(const SearcherReport& report) {
  for (const SearcherReport::Holding& holding : report.holdings) {
    MapKey key(report.service, holding.map_version);
    if (NeedsMap(key))
      FetchMap(report.searcher, key);
  }
}

bool ReportPoller::NeedsMap(const MapKey& key) const {
  if (fetching_maps_.count(key) != 0)
    return false;
  auto it = known_maps_.find(key.first);
  if (it == known_maps_.end() || it->second.empty())
    return true;
  const std::set<ShardMapVersion>& known = it->second;
  bool too_old =
      known.size() >= kMaxMapsPerService && key.second < *known.begin();
  return !too_old && known.count(key.second) == 0;
}

void ReportPoller::FetchMap(const SearcherId& id, const MapKey& key) {
  fetching_maps_.insert(key);
  transport_.Fetch(
      id,
      std::string(wire::kMapPathPrefix) + std::to_string(key.second.value()),
      [this, id, key, alive = alive_](ParsedReply* reply) {
        if (*alive && !HandleMap(key, reply))
          InvalidateReport(id);
      });
}

bool ReportPoller::HandleMap(const MapKey& key, ParsedReply* reply) {
  fetching_maps_.erase(key);
  if (reply == nullptr || reply->status != kStatusOk)
    return false;
  Result<ShardMap> map = DecodeShardMap(reply->body);
  if (!map || map.value().version() != key.second) {
    transport_.upstream_stats().maps_rejected.Add(1);
    return false;
  }
  if (!map_handler_(key.first,
                    std::make_shared<const ShardMap>(std::move(map).value())))
    return false;
  transport_.upstream_stats().maps_fetched.Add(1);
  std::set<ShardMapVersion>& known = known_maps_[key.first];
  known.insert(key.second);
  if (known.size() > kMaxMapsPerService)
    known.erase(known.begin());
  return true;
}

void ReportPoller::InvalidateReport(const SearcherId& id) {
  auto it = searchers_.find(id);
  if (it != searchers_.end())
    it->second.fetched_generation.reset();
}

}  // namespace jujubecove
