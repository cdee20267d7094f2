#include "handover/local_runs.h"

#include <utility>

namespace jujubecove {
namespace {

constexpr double kSendWeight = 0.1;

}  // namespace

const Route* LocalRuns::FindScatterRoute(
    const ForwardedRequest& request) const {
  if (!table())
    return nullptr;
  const Route* route = table()->Find(request.host, request.target);
  return route != nullptr && route->scatter ? route : nullptr;
}

std::shared_ptr<PendingRequest> LocalRuns::Submit(ForwardedRequestPtr request,
                                                  AnswerHandler done) {
  const Route* route = FindScatterRoute(*request);
  if (route == nullptr)
    return dispatcher_.Submit(std::move(request), std::move(done));
  std::string name = route->name;
  Duration target = route->target_latency;
  TimePoint started = timers_.Now();
  std::shared_ptr<PendingRequest> run = dispatcher_.Submit(
      std::move(request), [this, name, target, started, active = active_,
                           done = std::move(done)](CallerAnswer answer) {
        if (!answer.error)
          times_.Observe(name, timers_.Now() - started, target, timers_.Now());
        done(std::move(answer));
      });
  if (run) {
    double us = static_cast<double>((timers_.Now() - started).count());
    double& mean = send_us_[name];
    mean += kSendWeight * (us - mean);
  }
  return run;
}

Duration LocalRuns::SendTime(const std::string& route) const {
  auto it = send_us_.find(route);
  return it == send_us_.end()
             ? Duration(0)
             : Duration(static_cast<Duration::rep>(it->second));
}

}  // namespace jujubecove
