#include "quota/quota_service.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <utility>

#include "quota/quota_wait.h"

namespace jujubecove {
namespace {

constexpr int kStatusBadRequest = 400;

}  // namespace

QuotaService::QuotaService(const Environment& environment,
                           const QuotaOptions& options,
                           DaemonEntry own,
                           FleetDirectory& fleet,
                           OwnershipGuard::ViewConfirmed view_confirmed)
    : timers_(environment.timers),
      log_(environment.log),
      options_(options),
      metrics_(environment.registry),
      transport_(environment.client),
      node_(environment.timers,
            options,
            std::move(own),
            transport_,
            metrics_,
            std::move(view_confirmed)) {
  if (!options_.enabled())
    return;
  fleet.Subscribe([this, &fleet] { node_.OnFleetChanged(fleet); });
  AnswerCalls(environment.server);
}

void QuotaService::AnswerCalls(PeerServer& server) {
  using Answer = PeerReply (QuotaService::*)(const PeerRequest&);
  auto handle = [&](const char* path, Answer answer) {
    server.Handle(path, [this, answer](const PeerRequest& call,
                                       const PeerServer::Done& done) {
      done((this->*answer)(call));
    });
  };
  handle(kQuotaAskPath, &QuotaService::AnswerAsk);
  handle(kQuotaAnnouncePath, &QuotaService::AnswerAnnouncement);
  handle(kQuotaStatePath, &QuotaService::DescribeState);
}

PeerReply QuotaService::AnswerAsk(const PeerRequest& call) {
  std::optional<TokenRequest> request = DecodeTokenRequest(call.body);
  if (!request)
    return {kStatusBadRequest, "{}"};
  return {.body = EncodeTokenGrant(node_.owner().Grant(*request))};
}

PeerReply QuotaService::AnswerAnnouncement(const PeerRequest& call) {
  std::optional<DaemonEntry> entry = DecodeAnnouncement(call.body);
  if (!entry)
    return {kStatusBadRequest, "{}"};
  node_.OnAnnounced(*entry);
  return {.body = "{}"};
}

PeerReply QuotaService::DescribeState(const PeerRequest& call) {
  std::optional<TokenRequest> request = DecodeTokenRequest(call.body);
  if (!request)
    return {kStatusBadRequest, "{}"};
  QuotaOwner::PartState state = node_.owner().StateOf(request->workspace);
  boost::json::object object{{"owner", state.owner},
                             {"confirmed", state.confirmed},
                             {"rate_per_second", state.rate_per_second},
                             {"capacity", state.capacity},
                             {"tokens", state.level},
                             {"granted", state.granted}};
  return {.body = boost::json::serialize(object)};
}

void QuotaService::SetTable(const RouteTablePtr& table) {
  table_ = table;
  if (options_.enabled())
    node_.SetTable(table);
}

bool QuotaService::IsLimited(const ForwardedRequest& request) const {
  if (!options_.enabled() || !request.workspace || !table_)
    return false;
  const Workspace* workspace = table_->FindWorkspace(*request.workspace);
  return workspace != nullptr && workspace->rate_per_second > 0.0;
}

std::shared_ptr<PendingRequest> QuotaService::Submit(
    ForwardedRequestPtr request,
    AnswerHandler done,
    Next next) {
  if (!IsLimited(*request))
    return next(std::move(request), std::move(done));
  auto wait = std::make_shared<QuotaWait>(node_.client(), *request->workspace,
                                          std::move(done));
  QuotaWaiterId waiter = node_.client().Submit(
      *request->workspace,
      [this, wait, request, next = std::move(next)](const QuotaDecision& it) {
        if (wait->ended())
          return;
        if (!it.admitted) {
          wait->Finish(Refuse(*request, it));
          return;
        }
        wait->set_run(next(request, [wait](CallerAnswer answer) {
          wait->Finish(std::move(answer));
        }));
      });
  wait->set_waiter(waiter);
  return wait->ended() ? nullptr : wait;
}

CallerAnswer QuotaService::Refuse(const ForwardedRequest& request,
                                  const QuotaDecision& decision) {
  bool over_limit = decision.cause == QuotaRefusal::kOverLimit;
  const Workspace* workspace = table_->FindWorkspace(*request.workspace);
  DecisionLine(log_, LogCategory::kAdmission, DecisionPriority::kNotable,
               "rate_limited", timers_.Now())
      .Add("request", request.id)
      .Add("workspace", request.workspace->value())
      .Add("cause", NameOf(decision.cause))
      .Add("rate", workspace ? workspace->rate_per_second : 0.0)
      .Add("burst", workspace ? workspace->burst : 0.0)
      .Add("waited_ms", decision.waited)
      .Add("retry_after_ms", decision.retry_after);
  CallerAnswer answer;
  answer.error = ErrorKind::kRateLimited;
  answer.reason = over_limit ? "the workspace is over its rate limit"
                             : "no VM answered that grants the workspace's "
                               "requests";
  answer.retry_after = decision.retry_after;
  return answer;
}

}  // namespace jujubecove
