#include "front/operations_host.h"

#include <utility>

namespace jujubecove {

Result<ForwardedRequest> OperationsProtocol::DecodeRequest(
    IngressRequest request,
    TimePoint received) const {
  ForwardedRequest out;
  out.method = std::move(request.method);
  out.target = std::move(request.target);
  out.received = received;
  return out;
}

IngressAnswer OperationsProtocol::EncodeAnswer(CallerAnswer answer,
                                               const std::string&) const {
  IngressAnswer out;
  out.status =
      answer.error ? AnswerOf(*answer.error).http_status : answer.status;
  out.headers.push_back({"Content-Type", "text/plain; version=0.0.4"});
  out.body = answer.error ? answer.reason + "\n" : std::move(answer.body);
  return out;
}

std::shared_ptr<PendingRequest> OperationsHost::Submit(
    ForwardedRequestPtr request,
    RequestRun::AnswerHandler done) {
  done(responder_(request->target.substr(0, request->target.find('?'))));
  return nullptr;
}

}  // namespace jujubecove
