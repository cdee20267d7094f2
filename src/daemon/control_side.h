#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "config/config_agent.h"
#include "daemon/daemon_settings.h"
#include "daemon/duty_thread.h"
#include "daemon/peer_forwarder.h"
#include "daemon/query_side.h"
#include "daemon/share_exchange.h"
#include "document/document.h"
#include "membership/membership.h"
#include "peer/peer_client.h"
#include "peer/peer_server.h"
#include "routing/connection_shares.h"
#include "store/http_store.h"
#include "telemetry/metrics.h"

namespace jujubecove {

// Everything that lives on the control thread: the VM list, the membership of
// entry daemons, the peer protocol and the operators' document.
class ControlSide : private PeerHandler {
 public:
  // Sets the target number of connections to a searcher; zero removes it.
  using ShareHandler = std::function<void(const SearcherId&, std::size_t)>;

  // Throws boost::system::system_error when the peers' address can't be bound.
  ControlSide(DutyThread& thread,
              DutyThread& query_thread,
              QuerySide& query,
              PeerForwarder& forwarder,
              const DaemonConfig& config,
              IncarnationId incarnation,
              MetricsRegistry& metrics);
  ~ControlSide() override;

  // Called while the process is being wired. A null document is awaited from
  // peers or the store; a given one stays in force.
  void Start(ShareHandler handler, std::shared_ptr<const Document> document);

  // On the control thread.
  void AnnounceLeaving() { membership_.AnnounceLeaving(); }

 private:
  void PollVmList();
  void OnVmList(VmListReply reply);
  void OnMembers();
  void ApplyShares();
  void StartConfig();
  void PushToQuery();
  void PushConfigState();

  wire::ExchangeMessage OnExchange(
      const wire::ExchangeMessage& message) override;
  wire::DocumentReply OnFetchDelta(ConfigVersion from,
                                   ConfigVersion to) override;
  wire::DocumentReply OnFetchDocument(ConfigVersion version) override;
  void OnExecute(const wire::ForwardRequest& request,
                 ForwardResponder respond) override;

  DutyThread& thread_;
  QuerySide& query_;
  PeerForwarder& forwarder_;
  DaemonConfig config_;
  HttpStore store_;
  PeerClient peers_;
  Membership membership_;
  PeerServer peer_server_;
  ConnectionShares shares_;
  ShareExchange share_exchange_;
  std::unique_ptr<TaskRing> to_query_;
  // From the query thread: answers to forwarded requests.
  std::unique_ptr<TaskRing> from_query_;
  ShareHandler share_handler_;
  std::shared_ptr<const Document> document_;
  // Null when the document was given at the start.
  std::unique_ptr<ConfigAgent> config_agent_;
  // Why the configuration keeps the daemon from being ready, as it was told to
  // the query thread.
  std::string config_reason_told_;
  VmListRevision list_revision_;
  std::vector<SearcherVm> searchers_;
  std::vector<ZoneName> zones_;
  // What the query thread has not been told yet because the ring was full.
  bool vms_due_ = false;
  bool document_due_ = false;
  std::size_t live_told_ = 0;
  std::map<SearcherId, std::size_t> given_shares_;
  Counter& list_failures_;
  Gauge& live_daemons_;
  Gauge& platform_reachable_;
};

}  // namespace jujubecove
