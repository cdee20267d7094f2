#pragma once

#include <functional>

#include "dispatch/request_run.h"
#include "ingress/caller_protocol.h"
#include "route/route.h"

namespace jujubecove {

// What a caller connection calls to read the limits and submit requests.
class IngressHost {
 public:
  virtual ~IngressHost() = default;

  virtual const IngressLimits& limits() const = 0;
  // Calls `done` once, unless the returned request is abandoned. Returns null
  // if `done` has already been called, or if nobody needs to know when the
  // caller disconnects.
  virtual std::shared_ptr<PendingRequest> Submit(
      ForwardedRequestPtr request,
      RequestRun::AnswerHandler done) = 0;
  // Whether connections close after their current answer, so that the caller's
  // next request goes to another VM.
  virtual bool ClosesConnections() const = 0;
  virtual void OnRequestRejected(ErrorKind kind, const std::string& reason) = 0;
  // A connection was closed although its caller had not closed it.
  virtual void OnConnectionDropped(const std::string& /*reason*/) {}
};

}  // namespace jujubecove
