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
  // `sample_share` is the share of new traces that are sampled.
  // `unix_epoch_offset` converts times of the thread's timer service to Unix
  // time.
  Tracer(std::uint64_t seed, double sample_share, Duration unix_epoch_offset);

  // Starts a span of a request. If `traceparent`, the header of the request, is
  // valid, the span continues that trace and keeps its sampling decision.
  // Otherwise a new trace starts.
  Span Start(std::string name,
             SpanKind kind,
             std::string_view traceparent,
             TimePoint now);

  // Sends the span to the thread's TelemetryChannel if it is sampled.
  void Finish(Span span, TimePoint now);

 private:
  RandomEngine random_;
  // A new trace is sampled if its random number is below this.
  std::uint64_t sample_threshold_;
  bool sample_all_;
  Duration unix_epoch_offset_;
};

// The difference between Unix time and the steady clock, which must be read at
// the same moment.
Duration UnixEpochOffset(std::chrono::system_clock::time_point unix_now,
                         TimePoint now);

}  // namespace jujubecove
