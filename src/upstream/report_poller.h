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

// Fetches the searchers' reports and the shard maps that they hold. A report is
// fetched when a searcher is added, when a reply states a generation that was
// not fetched yet, and every second from a searcher that sends no replies. Runs
// on the upstream thread.
class ReportPoller {
 public:
  // A handler returns false if it cannot accept the value now. The value is
  // then fetched again after about a second.
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
    TimePoint last_reply{};
    // Generation of the last report that the handler accepted.
    std::optional<std::uint64_t> fetched_generation;
    // Generation in the reply header that triggered the last fetch. Prevents a
    // fetch after every reply if a searcher's header and report disagree.
    std::optional<std::uint64_t> announced_generation;
    bool fetching = false;
    TimerId timer;
  };

  void OnSearcher(const SearcherId& id, bool added);
  void OnValidReply(const SearcherId& id,
                    std::optional<std::uint64_t> generation);
  void SchedulePoll(const SearcherId& id, Searcher& searcher, TimePoint from);
  void Poll(const SearcherId& id);
  void FetchReport(const SearcherId& id, Searcher& searcher);
  void HandleReport(const SearcherId& id, ParsedReply* reply);
  void FetchMaps(const SearcherReport& report);
  void FetchMap(const SearcherId& id, const MapKey& key);
  bool HandleMap(const MapKey& key, ParsedReply* reply);
  bool NeedsMap(const MapKey& key) const;
  // Makes the next poll fetch the report again.
  void InvalidateReport(const SearcherId& id);

  HttpUpstreamTransport& transport_;
  TimerService& timer_;
  RandomEngine random_;
  ReportHandler report_handler_;
  MapHandler map_handler_;
  std::unordered_map<SearcherId, Searcher> searchers_;
  std::map<ServiceName, std::set<ShardMapVersion>> known_maps_;
  std::set<MapKey> fetching_maps_;
  // False after destruction; checked by the handlers of fetches.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace jujubecove
