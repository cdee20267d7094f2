#include "handover/takeover_server.h"

#include <utility>

namespace jujubecove {
namespace {

// Room for the fields that a daemon adds to the caller's header.
constexpr std::size_t kAddedHeaderBytes = 4096;
// Reading the replies takes about as long as sending the parts.
constexpr int kRunPerSendTime = 2;
// Whatever the processor is measured to need.
constexpr int kMaxInProgress = 64;

}  // namespace

bool HasRoomForTakeover(int in_progress, Duration send_time, Duration target) {
  return in_progress < kMaxInProgress &&
         send_time * kRunPerSendTime * (in_progress + 1) < target;
}

TakeoverServer::TakeoverServer(boost::asio::io_context& context,
                               TimerService& timers,
                               LocalRuns& runs,
                               DecisionLog& log,
                               HandoverMetrics& metrics,
                               std::size_t max_connections)
    : timers_(timers),
      runs_(runs),
      log_(log),
      metrics_(metrics),
      active_(std::make_shared<int>(0)),
      server_(context, timers, *this, protocol_, max_connections) {}

const IngressLimits& TakeoverServer::limits() const {
  limits_ = runs_.table() ? runs_.table()->config().limits : IngressLimits();
  limits_.max_header_bytes += kAddedHeaderBytes;
  return limits_;
}

LoadReport TakeoverServer::ReportFor(const std::string& route) const {
  LoadReport report;
  if (runs_.table())
    report.version = runs_.table()->version();
  report.draining = draining_;
  std::map<std::string, Duration> times = runs_.times().Higher(timers_.Now());
  auto it = times.find(route);
  if (it != times.end())
    report.route_times.insert(*it);
  return report;
}

std::optional<TakeoverRefusal> TakeoverServer::CheckRefusal(
    const std::optional<ConfigVersion>& version,
    const Route* route) const {
  if (draining_)
    return TakeoverRefusal::kDraining;
  // With another configuration than the sender's, this VM could undo a change
  // that the caller has seen.
  if (route == nullptr || !version || *version != runs_.table()->version())
    return TakeoverRefusal::kConfiguration;
  if (!HasRoomForTakeover(runs_.in_progress(), runs_.SendTime(route->name),
                          route->target_latency))
    return TakeoverRefusal::kBusy;
  return std::nullopt;
}

std::shared_ptr<PendingRequest> TakeoverServer::Submit(
    ForwardedRequestPtr request,
    RequestRun::AnswerHandler done) {
  auto query = std::make_shared<ForwardedRequest>(*request);
  std::optional<ConfigVersion> version = TakeVersion(*query);
  const Route* route = runs_.FindScatterRoute(*query);
  std::string name = route != nullptr ? route->name : "";
  std::optional<TakeoverRefusal> refusal = CheckRefusal(version, route);
  if (refusal) {
    metrics_.CountRefused(*refusal);
    DecisionLine(log_, LogCategory::kGather, DecisionPriority::kNotable,
                 "takeover_refused", timers_.Now())
        .Add("request", query->id)
        .Add("route", name)
        .Add("reason", NameOf(*refusal))
        .Add("in_progress", runs_.in_progress());
    done(RefuseTakeover(*refusal, ReportFor(name)));
    return nullptr;
  }
  metrics_.CountTakenOver();
  TimePoint started = timers_.Now();
  return runs_.Submit(
      std::move(query), [this, name, started, active = active_,
                         done = std::move(done)](CallerAnswer answer) {
        MarkAnswered(answer, ReportFor(name), timers_.Now() - started);
        done(std::move(answer));
      });
}

void TakeoverServer::OnRequestRejected(ErrorKind kind,
                                       const std::string& reason) {
  DecisionLine(log_, LogCategory::kFrontend, DecisionPriority::kNotable,
               "takeover_input_refused", timers_.Now())
      .Add("error", NameOf(kind))
      .Add("reason", reason);
}

}  // namespace jujubecove
