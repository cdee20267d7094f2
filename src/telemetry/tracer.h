#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

#include "base/random.h"
#include "base/units.h"
#include "telemetry/span.h"
#include "telemetry/telemetry_channel.h"

namespace jujubecove {

// Starts and finishes spans on one thread.
class Tracer {
 public:
  // `unix_epoch_offset` is added to times of the thread's timer service to give
  // Unix time. `sample_share` is the share of new traces whose spans are
  // written.
  Tracer(std::uint64_t seed, double sample_share, Duration unix_epoch_offset);

  // A span for a request that arrived with that `traceparent`. A valid header
  // decides whether the trace is sampled; without one a new trace starts.
  Span Start(std::string name,
             SpanKind kind,
             std::string_view traceparent,
             TimePoint now);

  // Sends a sampled span to the thread's TelemetryChannel.
  void Finish(Span span, TimePoint now);

 private:
  RandomEngine random_;
  // A trace is sampled when its random number is below this.
  std::uint64_t sample_below_;
  bool sample_all_;
  Duration unix_epoch_offset_;
};

// The difference between Unix time and a steady time that was read with it.
Duration UnixEpochOffset(std::chrono::system_clock::time_point unix_now,
                         TimePoint now);

}  // namespace jujubecove
