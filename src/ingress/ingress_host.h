#pragma once

#include <functional>

#include "dispatch/request_run.h"
#include "ingress/caller_protocol.h"
#include "route/route.h"

namespace jujubecove {

// What caller connections need from the process.
class IngressHost {
 public:
  virtual ~IngressHost() = default;

  virtual const IngressLimits& limits() const = 0;
  // Answers once, unless the run is abandoned. Null if it has answered.
  virtual std::shared_ptr<RequestRun> Submit(
      ForwardedRequestPtr request,
      RequestRun::AnswerHandler done) = 0;
  // Whether connections are closed after the answer under way.
  virtual bool IsDraining() const = 0;
  virtual void OnRequestRejected(ErrorKind kind, const std::string& reason) = 0;
};

}  // namespace jujubecove
