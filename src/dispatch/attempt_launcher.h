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

// Sends attempts, and keeps what each one teaches about its searcher and its
// route, also after the request that it was sent for has been answered.
class AttemptLauncher {
 public:
  using ReplyHandler = std::function<void(AttemptId, AttemptReply)>;

  AttemptLauncher(TimerService& timers,
                  SearcherTransport& transport,
                  DispatchMetrics& metrics)
      : timers_(timers), transport_(transport), metrics_(metrics) {}

  AttemptId Launch(const PooledSearcherPtr& searcher,
                   const ForwardedRequestPtr& request,
                   const std::shared_ptr<RouteLatency>& latency,
                   const AttemptOptions& attempt_options,
                   ReplyHandler done);
  // Nobody waits for the reply any more. The attempt may end by itself within
  // `grace`, which keeps its connection; then it is cancelled.
  void Detach(AttemptId attempt, Duration grace);
  // Nobody waits for the reply, but the request must not be interrupted.
  void DetachRunning(AttemptId attempt);
  bool IsWritten(AttemptId attempt) const {
    return transport_.IsWritten(attempt);
  }

 private:
  struct Attempt {
    PooledSearcherPtr searcher;
    std::shared_ptr<RouteLatency> latency;
    TimePoint sent;
    ReplyHandler done;
  };

  void OnReply(AttemptId id, AttemptReply reply);
  void Cancel(AttemptId id);

  TimerService& timers_;
  SearcherTransport& transport_;
  DispatchMetrics& metrics_;
  std::uint64_t last_id_ = 0;
  std::unordered_map<AttemptId, Attempt> attempts_;
};

}  // namespace jujubecove
