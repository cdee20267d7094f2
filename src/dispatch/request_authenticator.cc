#include "dispatch/request_authenticator.h"

#include <memory>
#include <utility>

namespace jujubecove {

std::string_view RequestAuthenticator::NameOf(Refusal refusal) {
  constexpr std::array<std::string_view, kRefusalCount> kNames = {
      "no_key", "malformed_key", "unknown_key"};
  return kNames[static_cast<std::size_t>(refusal)];
}

RequestAuthenticator::RequestAuthenticator(const CredentialProtocol& protocol,
                                           TimerService& timers,
                                           DecisionLog& log,
                                           MetricsRegistry& registry)
    : protocol_(protocol), timers_(timers), log_(log) {
  for (int n = 0; n < kRefusalCount; ++n) {
    refused_[n] = &registry.AddCounter(
        "jujubecove_requests_unauthenticated_total",
        "Requests refused for want of a valid API key.",
        {{"reason", std::string(NameOf(static_cast<Refusal>(n)))}});
  }
}

std::optional<CallerAnswer> RequestAuthenticator::Authenticate(
    const RouteTablePtr& table,
    ForwardedRequestPtr& request) {
  if (!table || !table->config().requires_api_key)
    return std::nullopt;
  const Route* route = table->Find(request->host, request->target);
  if (route == nullptr)
    return std::nullopt;
  auto known = std::make_shared<ForwardedRequest>(*request);
  Result<std::optional<std::string>> key = protocol_.TakeApiKey(known->headers);
  const Workspace* workspace = nullptr;
  if (key && key.value())
    workspace = table->FindWorkspaceByKey(*key.value());
  if (workspace != nullptr) {
    known->workspace = workspace->name;
  } else if (!route->anonymous) {
    if (!key)
      return Refuse(*request, *table, Refusal::kMalformedKey,
                    key.error().detail);
    return key.value() ? Refuse(*request, *table, Refusal::kUnknownKey,
                                "the API key is unknown")
                       : Refuse(*request, *table, Refusal::kNoKey,
                                "the request has no API key");
  }
  request = std::move(known);
  return std::nullopt;
}

CallerAnswer RequestAuthenticator::Refuse(const ForwardedRequest& request,
                                          const RouteTable& table,
                                          Refusal refusal,
                                          std::string reason) {
  refused_[static_cast<std::size_t>(refusal)]->Add();
  DecisionLine(log_, LogCategory::kGather, DecisionPriority::kNotable,
               "refused", timers_.Now())
      .Add("request", request.id)
      .Add("reason", reason)
      .Add("host", request.host)
      .Add("target", request.target)
      .Add("config", table.version().value());
  CallerAnswer answer;
  answer.error = ErrorKind::kUnauthenticated;
  answer.reason = std::move(reason);
  return answer;
}

}  // namespace jujubecove
