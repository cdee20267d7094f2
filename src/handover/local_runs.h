#pragma once

#include <map>
#include <memory>
#include <string>

#include "dispatch/dispatcher.h"
#include "handover/run_times.h"

namespace jujubecove {

// Runs queries on this VM and measures, by route, how long scattered ones take
// here. The times include the wait for the processor of this VM, which makes
// most of the difference between VMs.
class LocalRuns {
 public:
  using AnswerHandler = RequestRun::AnswerHandler;

  LocalRuns(TimerService& timers, Dispatcher& dispatcher)
      : timers_(timers),
        dispatcher_(dispatcher),
        active_(std::make_shared<int>(0)) {}

  // As Dispatcher::Submit.
  std::shared_ptr<PendingRequest> Submit(ForwardedRequestPtr request,
                                         AnswerHandler done);
  // The route of a query that is scattered to shards, or null.
  const Route* FindScatterRoute(const ForwardedRequest& request) const;
  const RouteTablePtr& table() const { return dispatcher_.table(); }

  // Scattered queries that are not answered yet.
  int in_progress() const { return static_cast<int>(active_.use_count()) - 1; }
  const RunTimes& times() const { return times_; }
  // Moving average of the time that this VM takes to send the parts of one
  // query. Zero if it is unknown.
  Duration SendTime(const std::string& route) const;

 private:
  TimerService& timers_;
  Dispatcher& dispatcher_;
  // Shared by the queries in progress.
  std::shared_ptr<int> active_;
  RunTimes times_;
  // By route name, in microseconds.
  std::map<std::string, double> send_us_;
};

}  // namespace jujubecove
