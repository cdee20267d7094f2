#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "api/api_limits.h"
#include "api/caller_request.h"
#include "api/query_service_proxy.h"
#include "base/error_kind.h"
#include "kernel/timer_service.h"
#include "telemetry/tracer.h"

namespace jujubecove {

class CallerConnection;

// An answer that the API server produces itself, not always in JSON.
struct LocalAnswer {
  RenderedAnswer answer;
  const char* content_type = "application/json";
};

// What a connection calls on the API server.
class ConnectionHost {
 public:
  virtual ~ConnectionHost() = default;

  virtual const ApiLimits& limits() const = 0;
  virtual TimerService& timers() = 0;
  virtual QueryServiceProxy& query_proxy() = 0;
  virtual Tracer& tracer() = 0;
  // Whether the daemon is draining: connections close after their current
  // answer.
  virtual bool draining() const = 0;
  // Whether the server no longer accepts connections and closes idle ones after
  // the linger timeout.
  virtual bool stopping() const = 0;
  // Answers an endpoint other than kQuery and kTickets.
  virtual LocalAnswer AnswerLocally(Endpoint endpoint) = 0;

  // Events that the metrics count.
  virtual void OnRequest(Endpoint endpoint) = 0;
  virtual void OnAnswered(int http_status, Duration duration) = 0;
  virtual void OnError(ErrorKind kind) = 0;
  virtual void OnAbandoned() = 0;
  // The connection has closed and can be removed.
  virtual void OnClosed(CallerConnection& connection) = 0;
};

}  // namespace jujubecove
