#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "dispatch/credential_protocol.h"
#include "dispatch/forwarded_request.h"
#include "kernel/timer_service.h"
#include "route/route_table.h"
#include "telemetry/decision_log.h"
#include "telemetry/metrics.h"

namespace jujubecove {

// Finds the workspace of each request by its API key, if the configuration
// requires keys. It looks the key up for each request in the newest
// configuration, so a key that was removed is refused on open connections too,
// while requests in progress go on. Answers the load of callers without a key
// or with a wrong, revoked or malformed one: they are refused before they take
// any room, unless their route is anonymous.
class RequestAuthenticator {
 public:
  RequestAuthenticator(const CredentialProtocol& protocol,
                       TimerService& timers,
                       DecisionLog& log,
                       MetricsRegistry& registry);

  // Returns the refusal of a request that may not be served. Otherwise, if the
  // table requires keys, replaces the request by one that names its workspace
  // and holds no key. A request without a table or a route is left to the
  // dispatcher, which refuses it.
  std::optional<CallerAnswer> Authenticate(const RouteTablePtr& table,
                                           ForwardedRequestPtr& request);

 private:
  enum class Refusal : std::uint8_t { kNoKey, kMalformedKey, kUnknownKey };
  static constexpr int kRefusalCount = 3;

  static std::string_view NameOf(Refusal refusal);
  CallerAnswer Refuse(const ForwardedRequest& request,
                      const RouteTable& table,
                      Refusal refusal,
                      std::string reason);

  const CredentialProtocol& protocol_;
  TimerService& timers_;
  DecisionLog& log_;
  std::array<Counter*, kRefusalCount> refused_{};
};

}  // namespace jujubecove
