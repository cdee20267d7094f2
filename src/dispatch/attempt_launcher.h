#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_map>

#include "dispatch/dispatch_metrics.h"
#include "dispatch/route_latency.h"
#include "dispatch/service_pool.h"
#include "kernel/timer_service.h"

namespace jujubecove {

// Sends attempts and records their outcomes in the health of the searcher and
// the latency of the route, even after their request has been answered.
class AttemptLauncher {
 public:
  using ReplyHandler = std::function<void(AttemptId, AttemptReply)>;
  using LeavingHandler = std::function<void(const SearcherEntry&)>;

  AttemptLauncher(TimerService& timers,
                  SearcherTransport& transport,
                  ZoneReachability& zones,
                  DispatchMetrics& metrics)
      : timers_(timers),
        transport_(transport),
        zones_(zones),
        metrics_(metrics) {}

  AttemptId Launch(const PooledSearcherPtr& searcher,
                   const ForwardedRequestPtr& request,
                   const std::shared_ptr<RouteLatency>& latency,
                   const AttemptOptions& attempt_options,
                   ReplyHandler done);
  // Drops the reply handler. An unwritten attempt is cancelled at once, a
  // written one after `grace`: if it ends before, its connection is kept.
  void Detach(AttemptId attempt, Duration grace);
  // Drops the reply handler and lets the attempt run, at the latest until
  // `end`. From then on the searcher does not work on it any more, so without a
  // reply the connection has gone silent.
  void DetachUntil(AttemptId attempt, TimePoint end);
  // Called when a searcher says in a reply that it is leaving, before the reply
  // is handled.
  void SetLeavingHandler(LeavingHandler handler) {
    on_leaving_ = std::move(handler);
  }
  // Tells the reachability of zones if the attempt has waited for its reply for
  // much longer than usual.
  void ReportIfOverdue(AttemptId attempt);
  bool IsWritten(AttemptId attempt) const {
    return transport_.IsWritten(attempt);
  }

 private:
  struct Attempt {
    PooledSearcherPtr searcher;
    std::shared_ptr<RouteLatency> latency;
    TimePoint sent_at;
    ReplyHandler done;
  };

  void OnReply(AttemptId id, AttemptReply reply);
  bool IsOverdue(const Attempt& attempt, TimePoint now) const;
  // Handles a reply in which the searcher asks for no more requests.
  void OnRequestsUnwanted(const PooledSearcher& searcher,
                          const AttemptReply& reply);
  void Cancel(AttemptId id);
  // Cancels an attempt on a connection that has gone silent. The searcher is
  // not blamed if it has replied to others in the meantime.
  void CancelSilent(AttemptId id);
  void UpdateReachability(const Attempt& attempt,
                          const AttemptReply& reply,
                          TimePoint now);

  TimerService& timers_;
  SearcherTransport& transport_;
  ZoneReachability& zones_;
  DispatchMetrics& metrics_;
  LeavingHandler on_leaving_;
  std::uint64_t last_id_ = 0;
  std::unordered_map<AttemptId, Attempt> attempts_;
};

}  // namespace jujubecove
