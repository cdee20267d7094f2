#pragma once

#include "base/random.h"
#include "gather/engine_options.h"
#include "gather/trace_sink.h"
#include "kernel/timer_service.h"
#include "routing/router.h"
#include "upstream/upstream_transport.h"

namespace jujubecove {

// What the parts of the query engine share.
struct GatherContext {
  TimerService& timers;
  Router& router;
  UpstreamTransport& transport;
  // Null when no spans are wanted.
  TraceSink* trace = nullptr;
  EngineOptions options;
  RandomEngine random;
};

}  // namespace jujubecove
