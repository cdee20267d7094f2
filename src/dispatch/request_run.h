#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "dispatch/attempt_launcher.h"
#include "dispatch/dispatch_metrics.h"
#include "dispatch/dispatch_options.h"
#include "dispatch/pending_request.h"
#include "dispatch/retry_advice.h"
#include "route/route_table.h"
#include "telemetry/decision_log.h"

namespace jujubecove {

// Dependencies that all runs share.
struct RunContext {
  TimerService& timers;
  AttemptLauncher& launcher;
  RandomEngine& random;
  RetryAdvice& retry_advice;
  const ZoneReachability& zones;
  DecisionLog& log;
  DispatchMetrics& metrics;
  const DispatchOptions& options;
};

// Why a VM refuses what it can't serve with the searchers that it can reach.
inline constexpr char kIsolatedReason[] =
    "this VM is cut off from the other availability zones";
// Why a VM refuses what it can't finish before it stops, or ends it.
inline constexpr char kStoppingReason[] = "this VM is about to stop";
// The refusal of a request that has not run, because this VM is about to stop.
CallerAnswer RefusalWhileStopping();
// Time in which the balancer turns to VMs of other availability zones.
inline constexpr Duration kFailoverTime = std::chrono::seconds(2);

// A run's attempt that has not ended yet.
struct LaunchedAttempt {
  AttemptId id;
  PooledSearcherPtr searcher;
};

// Removes the attempt and returns its searcher, or null if it is not listed.
PooledSearcherPtr RemoveInFlight(std::vector<LaunchedAttempt>& in_flight,
                                 AttemptId id);

// A request with the route that was found for it.
struct RoutedRequest {
  ForwardedRequestPtr request;
  // Keeps `route` alive, so that the run uses one version of the configuration.
  RouteTablePtr table;
  const Route* route = nullptr;
  std::shared_ptr<RouteLatency> latency;
  // 0 is the most urgent.
  int urgency = 0;
  RegionLimit limit;
};

// Handles one caller's request from its admission to its answer.
class RequestRun : public PendingRequest,
                   public std::enable_shared_from_this<RequestRun> {
 public:
  using AnswerHandler = std::function<void(CallerAnswer)>;

  RequestRun(RunContext& context, RoutedRequest routed, AnswerHandler done);
  // Refuses a request whose deadline has passed, otherwise starts it.
  void Begin();
  void Abandon() override;
  void RefuseIfNotRun() override;
  void EndNow() override;

 protected:
  virtual void Start() = 0;
  // Detaches the attempts in flight.
  virtual void DetachAll(Duration grace) = 0;
  virtual void OnTimer() = 0;
  // Whether any attempt has run or may still run.
  virtual bool MayHaveRun() const = 0;
  // Answers a request that may have run.
  virtual void AnswerNow(const std::string& reason) = 0;
  // Adds fields to the log line of the answer that help to explain its latency.
  virtual void Describe(DecisionLine& line) const = 0;

  // Schedules OnTimer and replaces an earlier schedule.
  void SetTimer(TimePoint when);
  void Finish(CallerAnswer answer);
  void Fail(ErrorKind kind, std::string reason);
  // Refuses a request that has not run and tells the caller when to ask again.
  // `wait` is the shortest time after which it could be served, if known.
  void Refuse(ErrorKind kind, std::string reason, std::optional<Duration> wait);

  bool finished() const { return finished_; }
  TimePoint now() const { return context_.timers.Now(); }
  // When the final answer is due at the latest.
  TimePoint deadline() const { return deadline_; }
  // When the answer is due to meet the route's target latency.
  TimePoint target_time() const { return target_time_; }
  const Route& route() const { return *routed_.route; }
  const RoutedRequest& routed() const { return routed_; }
  const RegionLimit& limit() const { return routed_.limit; }
  RunContext& context() { return context_; }
  using ReplyHandler = std::function<void(AttemptId, AttemptReply)>;
  // A reply after `reply_deadline` would be discarded.
  LaunchedAttempt Launch(const PooledSearcherPtr& searcher,
                         TimePoint reply_deadline,
                         ReplyHandler done);
  // Whether any of the attempts was written to a connection.
  bool IsAnyWritten(const std::vector<LaunchedAttempt>& in_flight) const;
  DecisionLine Log(std::string_view event, DecisionPriority priority);
  // Take an extra attempt from the service's budget and update the metrics.
  // Return false if the budget denies it.
  bool TakeRetry(ServicePool& pool);
  bool TakeHedge(ServicePool& pool);
  DispatchMetrics& metrics() { return context_.metrics; }

 private:
  RouteKind kind() const;

  RunContext& context_;
  RoutedRequest routed_;
  AnswerHandler done_;
  TimePoint deadline_;
  TimePoint target_time_;
  TimerId timer_;
  bool finished_ = false;
};

}  // namespace jujubecove
