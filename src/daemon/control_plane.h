#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "daemon/daemon_settings.h"
#include "daemon/event_loop_thread.h"
#include "daemon/query_pipeline.h"
#include "discovery/discovery_client.h"
#include "document/document.h"
#include "platform/kv_client.h"
#include "platform/registration_codec.h"
#include "telemetry/decision_log.h"
#include "telemetry/metrics.h"

namespace jujubecove {

// Runs on the control thread. Discovers searchers and other entry daemons in
// the platform's store, sets the number of connections to each searcher, and
// passes the searchers, the number of daemons and the operators' document to
// the query thread.
class ControlPlane {
 public:
  // Sets the target number of connections to a searcher; zero removes it.
  using ConnectionShareHandler =
      std::function<void(const SearcherId&, std::size_t)>;

  ControlPlane(EventLoopThread& thread,
               EventLoopThread& query_thread,
               QueryPipeline& query,
               const DaemonConfig& config,
               MetricsRegistry& metrics);

  // Called before the threads start. The document may be null.
  void Start(ConnectionShareHandler handler,
             std::shared_ptr<const Document> document);

  // The following run on the control thread.
  void SetDocument(std::shared_ptr<const Document> document);
  void AnnounceDraining();

 private:
  DiscoveryClient::Callbacks DiscoveryCallbacks();
  void OnSearcherChange(SearcherChange change, const SearcherEntry& entry);
  void OnFleetSizeChange(int size);
  // Schedules the update of the connection shares and of the query thread.
  void ScheduleUpdate();
  void SendPendingUpdates();
  void UpdateConnectionShares();
  void FlushTelemetry();

  EventLoopThread& thread_;
  QueryPipeline& query_;
  LineSink sink_;
  DecisionLog log_;
  platform::PlatformRegistrationCodec codec_;
  platform::PlatformKvClient store_;
  DiscoveryClient discovery_;
  std::unique_ptr<TaskChannel> query_tasks_;
  ConnectionShareHandler share_handler_;
  std::shared_ptr<const Document> document_;
  std::map<InstanceId, SearcherVm> searchers_;
  std::map<SearcherId, std::size_t> applied_shares_;
  std::size_t fleet_size_ = 1;
  // When this daemon may use its full connection share; unset until the fleet
  // size is known.
  std::optional<TimePoint> full_share_at_;
  bool update_scheduled_ = false;
  bool searchers_pending_ = false;
  bool document_pending_ = false;
  bool fleet_size_pending_ = true;
  Gauge& live_daemons_;
  Gauge& platform_reachable_;
};

}  // namespace jujubecove
