#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "base/error_kind.h"
#include "frontend/api_limits.h"
#include "frontend/caller_request.h"
#include "frontend/query_service_proxy.h"
#include "kernel/timer_service.h"
#include "telemetry/tracer.h"

namespace jujubecove {

class CallerConnection;

// An answer of the frontend itself, which is not always JSON.
struct LocalAnswer {
  RenderedAnswer answer;
  const char* content_type = "application/json";
};

// What a connection needs of the frontend.
class ConnectionHost {
 public:
  virtual ~ConnectionHost() = default;

  virtual const ApiLimits& limits() const = 0;
  virtual TimerService& timers() = 0;
  virtual QueryServiceProxy& bridge() = 0;
  virtual Tracer& tracer() = 0;
  // Whether answers end their connection, because the daemon is leaving.
  virtual bool draining() const = 0;
  // Whether idle connections are closed soon.
  virtual bool stopping() const = 0;
  // Answers an endpoint other than kQuery and kTickets.
  virtual LocalAnswer AnswerLocally(Endpoint endpoint) = 0;

  // For the metrics.
  virtual void OnRequest(Endpoint endpoint) = 0;
  virtual void OnAnswered(int http_status, Duration duration) = 0;
  virtual void OnError(ErrorKind kind) = 0;
  virtual void OnAbandoned() = 0;
  // The connection is closed and may be forgotten.
  virtual void OnClosed(CallerConnection& connection) = 0;
};

}  // namespace jujubecove
