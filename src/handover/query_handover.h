#pragma once

#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>

#include "discovery/fleet_directory.h"
#include "egress/http_searcher_transport.h"
#include "handover/handed_over_query.h"
#include "handover/takeover_server.h"
#include "peer/peer_client.h"
#include "peer/peer_server.h"

namespace jujubecove {

struct HandoverOptions {
  VmId vm;
  ZoneName zone;
  // Share of a processor core, or 0 if unknown.
  double cpu_share = 0.0;
  // Port 0 turns hand-overs off, in both directions.
  SocketAddress listen;
  std::size_t max_connections = 0;
  std::size_t max_reply_memory = 0;
  std::uint64_t seed = 0;
};

// Hands queries of this VM's callers over to VMs of its zone that answer them
// sooner, and takes queries over from others. See HandoverPolicy.
class QueryHandover {
 public:
  using AnswerHandler = RequestRun::AnswerHandler;

  QueryHandover(boost::asio::io_context& context,
                TimerService& timers,
                Dispatcher& dispatcher,
                FleetDirectory& fleet,
                PeerServer& peer_server,
                PeerClient& peer_client,
                DecisionLog& log,
                MetricsRegistry& registry,
                HandoverOptions options);

  Result<void> Start();
  // As Dispatcher::Submit.
  std::shared_ptr<PendingRequest> Submit(ForwardedRequestPtr request,
                                         AnswerHandler done);
  // From now on, queries are neither handed nor taken over. Those in progress
  // go on.
  void BeginDrain();
  void RefuseIfNotRun() { server_.RefuseIfNotRun(); }
  void EndNow() { server_.EndNow(); }
  // Queries of other VMs that are not answered yet.
  int taken_over() const { return server_.in_progress(); }

 private:
  bool enabled() const { return options_.listen.port != 0; }
  void OnFleetChange();
  void AskPeers(const HandoverQuery& query);
  void AskPeer(const VmId& vm);
  void ResetConnections(const SearcherEntry& peer);

  TimerService& timers_;
  Dispatcher& dispatcher_;
  FleetDirectory& fleet_;
  PeerServer& peer_server_;
  PeerClient& peer_client_;
  DecisionLog& log_;
  HandoverOptions options_;
  HandoverMetrics metrics_;
  LocalRuns runs_;
  HandoverPolicy policy_;
  HandoverProtocol protocol_;
  HttpSearcherTransport transport_;
  HandoverContext context_;
  TakeoverServer server_;
  // The VMs of the zone that take queries over, as addresses of the transport.
  std::map<VmId, SearcherEntry> peers_;
  std::uint64_t last_attempt_ = 0;
  bool draining_ = false;
};

}  // namespace jujubecove
