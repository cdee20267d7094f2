#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

#include "base/ids.h"
#include "base/random.h"
#include "kernel/timer_service.h"
#include "shard/shard_map.h"
#include "upstream/http_upstream_transport.h"
#include "upstream/report_codec.h"

namespace jujubecove {

// Keeps the searchers' reports and the shard maps that they hold up to date. A
// report is fetched when a searcher is added, when a reply states a generation
// that was not fetched yet, and each second from a searcher that sends no
// replies. Runs on the upstream thread.
class ReportPoller {
 public:
  // Each handler returns false when it cannot take the value now; it is then
  // fetched again after about a second.
  using ReportHandler = std::function<bool(const SearcherReport&)>;
  using MapHandler =
      std::function<bool(const ServiceName&, std::shared_ptr<const ShardMap>)>;

  ReportPoller(HttpUpstreamTransport& transport,
               TimerService& timer,
               std::uint64_t seed);
  ~ReportPoller();

  // Both must be set before the first searcher is added to the transport.
  void SetReportHandler(ReportHandler handler);
  void SetMapHandler(MapHandler handler);

 private:
  using MapKey = std::pair<ServiceName, ShardMapVersion>;

  struct Searcher {
    TimePoint last_contact{};
    // Generation of the last report that was taken.
    std::optional<std::uint64_t> fetched_generation;
    // Generation whose announcement started the last fetch. It keeps a
    // searcher whose header and report disagree from causing a fetch with
    // every reply.
    std::optional<std::uint64_t> announced_generation;
    bool fetching = false;
    TimerId timer;
  };

  void OnSearcher(const SearcherId& id, bool added);
  void OnContact(const SearcherId& id, std::optional<std::uint64_t> generation);
  void SchedulePoll(const SearcherId& id, Searcher& searcher, TimePoint from);
  void Poll(const SearcherId& id);
  void FetchReport(const SearcherId& id, Searcher& searcher);
  void HandleReport(const SearcherId& id, ParsedReply* reply);
  void FetchMaps(const SearcherReport& report);
  void FetchMap(const SearcherId& id, const MapKey& key);
  bool HandleMap(const MapKey& key, ParsedReply* reply);
  bool NeedsMap(const MapKey& key) const;
  // Has the report fetched again at the next poll.
  void InvalidateReport(const SearcherId& id);

  HttpUpstreamTransport& transport_;
  TimerService& timer_;
  RandomEngine random_;
  ReportHandler report_handler_;
  MapHandler map_handler_;
  std::unordered_map<SearcherId, Searcher> searchers_;
  std::map<ServiceName, std::set<ShardMapVersion>> known_maps_;
  std::set<MapKey> fetching_maps_;
  // Lets replies that arrive later notice that the poller is gone.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace jujubecove
