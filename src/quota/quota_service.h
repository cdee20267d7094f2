#pragma once

#include <functional>
#include <memory>

#include "dispatch/request_run.h"
#include "peer/peer_server.h"
#include "quota/peer_quota_transport.h"
#include "quota/quota_node.h"
#include "telemetry/decision_log.h"

namespace jujubecove {

// Enforces the rate limits of workspaces at an entry daemon: passes on what is
// admitted, refuses what is beyond the limit, and answers the calls of other
// entry daemons.
class QuotaService {
 public:
  using AnswerHandler = RequestRun::AnswerHandler;
  // Handles an admitted request, as IngressHost::Submit does.
  using Next =
      std::function<std::shared_ptr<PendingRequest>(ForwardedRequestPtr,
                                                    AnswerHandler)>;
  struct Environment {
    TimerService& timers;
    PeerServer& server;
    PeerClient& client;
    DecisionLog& log;
    MetricsRegistry& registry;
  };

  QuotaService(const Environment& environment,
               const QuotaOptions& options,
               DaemonEntry own,
               FleetDirectory& fleet,
               OwnershipGuard::ViewConfirmed view_confirmed);

  void SetTable(const RouteTablePtr& table);
  void Stop() { node_.Stop(); }

  // See IngressHost::Submit. `request` belongs to a workspace or to none.
  std::shared_ptr<PendingRequest> Submit(ForwardedRequestPtr request,
                                         AnswerHandler done,
                                         Next next);

 private:
  bool IsLimited(const ForwardedRequest& request) const;
  void AnswerCalls(PeerServer& server);
  PeerReply AnswerAsk(const PeerRequest& call);
  PeerReply AnswerAnnouncement(const PeerRequest& call);
  PeerReply DescribeState(const PeerRequest& call);
  CallerAnswer Refuse(const ForwardedRequest& request,
                      const QuotaDecision& decision);

  TimerService& timers_;
  DecisionLog& log_;
  QuotaOptions options_;
  QuotaMetrics metrics_;
  PeerQuotaTransport transport_;
  QuotaNode node_;
  RouteTablePtr table_;
};

}  // namespace jujubecove
