#pragma once

#include <memory>

#include "handover/handover_metrics.h"
#include "handover/local_runs.h"
#include "ingress/ingress_server.h"

namespace jujubecove {

// Whether a VM has room for one more query of another VM: the queries in
// progress would not keep its processor busy for longer than the route's
// target. `send_time` is the time in which it sends the parts of one query.
bool HasRoomForTakeover(int in_progress, Duration send_time, Duration target);

// Runs queries that other entry daemons of the zone hand over. They were
// authenticated and counted towards rate limits there, and are never handed
// over again. A daemon that closes its connection has lost its caller.
class TakeoverServer : public IngressHost {
 public:
  TakeoverServer(boost::asio::io_context& context,
                 TimerService& timers,
                 LocalRuns& runs,
                 DecisionLog& log,
                 HandoverMetrics& metrics,
                 std::size_t max_connections);

  Result<void> Listen(const SocketAddress& address) {
    return server_.Listen(address);
  }
  // Refuses further queries. Those in progress go on.
  void BeginDrain() { draining_ = true; }
  bool draining() const { return draining_; }
  // As for callers' connections.
  void RefuseIfNotRun() { server_.RefuseIfNotRun(); }
  void EndNow() { server_.EndNow(); }
  // Queries taken over that are not answered yet.
  int in_progress() const { return static_cast<int>(active_.use_count()) - 1; }

  const IngressLimits& limits() const override;
  std::shared_ptr<PendingRequest> Submit(
      ForwardedRequestPtr request,
      RequestRun::AnswerHandler done) override;
  bool ClosesConnections() const override { return draining_; }
  void OnRequestRejected(ErrorKind kind, const std::string& reason) override;

 private:
  // The reason to refuse the query, or nothing.
  std::optional<TakeoverRefusal> CheckRefusal(
      const std::optional<ConfigVersion>& version,
      const Route* route) const;
  LoadReport ReportFor(const std::string& route) const;

  TimerService& timers_;
  LocalRuns& runs_;
  DecisionLog& log_;
  HandoverMetrics& metrics_;
  TakeoverProtocol protocol_;
  bool draining_ = false;
  // Shared by the queries in progress.
  std::shared_ptr<int> active_;
  mutable IngressLimits limits_;
  IngressServer server_;
};

}  // namespace jujubecove
