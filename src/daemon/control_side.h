#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "daemon/daemon_settings.h"
#include "daemon/duty_thread.h"
#include "daemon/query_side.h"
#include "discovery/discovery_client.h"
#include "document/document.h"
#include "platform/kv_client.h"
#include "platform/registration_codec.h"
#include "telemetry/decision_log.h"
#include "telemetry/metrics.h"

namespace jujubecove {

// Everything that lives on the control thread: the searchers and the other
// entry daemons that the platform's store lists, and the operators' document.
class ControlSide {
 public:
  // Sets the target number of connections to a searcher; zero removes it.
  using ShareHandler = std::function<void(const SearcherId&, std::size_t)>;

  ControlSide(DutyThread& thread,
              DutyThread& query_thread,
              QuerySide& query,
              const DaemonConfig& config,
              MetricsRegistry& metrics);

  // Called while the process is being wired. The document may be null.
  void Start(ShareHandler handler, std::shared_ptr<const Document> document);

  // On the control thread.
  void SetDocument(std::shared_ptr<const Document> document);
  void AnnounceLeaving();

 private:
  DiscoveryClient::Callbacks DirectoryCallbacks();
  void OnSearcher(SearcherChange change, const SearcherEntry& entry);
  void OnFleetSize(int size);
  // Hands over what has changed, and repeats what found the ring full.
  void Push();
  void PushToQuery();
  void ApplyShares();
  void FlushLog();

  DutyThread& thread_;
  QuerySide& query_;
  LineSink sink_;
  DecisionLog log_;
  platform::PlatformRegistrationCodec codec_;
  platform::PlatformKvClient store_;
  DiscoveryClient directory_;
  std::unique_ptr<TaskRing> to_query_;
  ShareHandler share_handler_;
  std::shared_ptr<const Document> document_;
  std::map<InstanceId, SearcherVm> searchers_;
  std::map<SearcherId, std::size_t> given_shares_;
  std::size_t fleet_size_ = 1;
  // When this daemon may use its full share; nothing before the fleet is known.
  std::optional<TimePoint> joined_at_;
  bool push_scheduled_ = false;
  bool searchers_due_ = false;
  bool document_due_ = false;
  bool fleet_due_ = true;
  Gauge& live_daemons_;
  Gauge& platform_reachable_;
};

}  // namespace jujubecove
