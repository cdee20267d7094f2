#pragma once

#include <functional>
#include <string>

#include "ingress/ingress_host.h"

namespace jujubecove {

// Protocol of operators and of the balancer. Their requests need no id and are
// never forwarded.
class OperationsProtocol : public CallerProtocol {
 public:
  Result<ForwardedRequest> DecodeRequest(IngressRequest request,
                                         TimePoint received) const override;
  IngressAnswer EncodeAnswer(CallerAnswer answer,
                             const std::string& request_id) const override;
};

// Answers requests for readiness and metrics.
class OperationsHost : public IngressHost {
 public:
  // Returns the answer for a path.
  using Responder = std::function<CallerAnswer(const std::string& path)>;

  explicit OperationsHost(Responder responder)
      : responder_(std::move(responder)) {}

  const IngressLimits& limits() const override { return limits_; }
  std::shared_ptr<PendingRequest> Submit(
      ForwardedRequestPtr request,
      RequestRun::AnswerHandler done) override;
  bool ClosesConnections() const override { return false; }
  void OnRequestRejected(ErrorKind, const std::string&) override {}

 private:
  IngressLimits limits_;
  Responder responder_;
};

}  // namespace jujubecove
