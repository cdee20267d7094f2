#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "dispatch/attempt_launcher.h"
#include "dispatch/dispatch_metrics.h"
#include "dispatch/dispatch_options.h"
#include "route/route_table.h"
#include "telemetry/decision_log.h"

namespace jujubecove {

// What all runs share.
struct RunContext {
  TimerService& timers;
  AttemptLauncher& launcher;
  RandomEngine& random;
  DecisionLog& log;
  DispatchMetrics& metrics;
  const DispatchOptions& options;
};

// An attempt of a run that has not ended.
struct RunningAttempt {
  AttemptId id;
  PooledSearcherPtr searcher;
};

// Removes the attempt from those under way and gives its searcher.
PooledSearcherPtr TakeRunning(std::vector<RunningAttempt>& running,
                              AttemptId id);

// What one run is about.
struct RunSubject {
  ForwardedRequestPtr request;
  // Keeps `route` alive; the whole run goes by this version.
  RouteTablePtr table;
  const Route* route = nullptr;
  std::shared_ptr<RouteLatency> latency;
};

// The handling of one caller's request, from its admission to its answer.
class RequestRun : public std::enable_shared_from_this<RequestRun> {
 public:
  using AnswerHandler = std::function<void(CallerAnswer)>;

  RequestRun(RunContext& context, RunSubject subject, AnswerHandler done);
  virtual ~RequestRun() = default;

  // Refuses a request whose deadline has passed, else starts it.
  void Begin();
  // The caller has left. Nothing is answered any more.
  void Abandon();

 protected:
  virtual void Start() = 0;
  // Ends attempts under way for which nobody waits any more.
  virtual void DetachAll(Duration grace) = 0;
  virtual void OnTimer() = 0;
  // Adds what explains the time of the answer.
  virtual void Describe(DecisionLine& line) const = 0;

  // Calls OnTimer at that time, instead of at a time set before.
  void WakeAt(TimePoint when);
  void Finish(CallerAnswer answer);
  void Fail(ErrorKind kind, std::string reason, bool may_run_again_soon);

  bool finished() const { return finished_; }
  TimePoint now() const { return context_.timers.Now(); }
  // When the final answer is due.
  TimePoint deadline() const { return deadline_; }
  // Until when an answer is in time for the route's target.
  TimePoint target_time() const { return target_time_; }
  const Route& route() const { return *subject_.route; }
  const RunSubject& subject() const { return subject_; }
  RunContext& context() { return context_; }
  using AttemptHandler = std::function<void(AttemptId, AttemptReply)>;
  // The reply is of use until then.
  RunningAttempt Launch(const PooledSearcherPtr& searcher,
                        TimePoint useful_until,
                        AttemptHandler done);
  DecisionLine Log(std::string_view event, DecisionRank rank);
  // Asks the service's budget for a retry or a hedge, and counts the answer.
  bool TakeRetry(ServicePool& pool);
  bool TakeHedge(ServicePool& pool);
  DispatchMetrics& metrics() { return context_.metrics; }

 private:
  RequestKind kind() const;

  RunContext& context_;
  RunSubject subject_;
  AnswerHandler done_;
  TimePoint deadline_;
  TimePoint target_time_;
  TimerId timer_;
  bool finished_ = false;
};

}  // namespace jujubecove
