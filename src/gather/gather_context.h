#pragma once

#include "base/random.h"
#include "gather/engine_options.h"
#include "gather/trace_sink.h"
#include "kernel/timer_service.h"
#include "routing/router.h"
#include "upstream/upstream_transport.h"

namespace jujubecove {

// Dependencies and state shared by the components of the query engine.
struct GatherContext {
  TimerService& timers;
  Router& router;
  UpstreamTransport& transport;
  // Null when tracing is off.
  TraceSink* trace = nullptr;
  EngineOptions options;
  RandomEngine random;
};

}  // namespace jujubecove
