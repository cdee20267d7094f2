#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/random.h"
#include "base/units.h"
#include "telemetry/span_context.h"

namespace jujubecove {

using SpanId = std::array<std::uint8_t, 8>;

// One finished span. Names and attribute keys are string literals.
struct SpanRecord {
  SpanContext context;
  std::optional<SpanId> parent;
  std::string_view name;
  TimePoint start;
  TimePoint end;
  std::vector<std::pair<std::string_view, std::string>> attributes;
};

// Receives the spans of the query thread. It must not block.
class TraceSink {
 public:
  virtual ~TraceSink() = default;

  virtual bool ShouldRecord(const SpanContext& context) const = 0;
  virtual void Emit(SpanRecord record) = 0;
};

// Writes the spans of sampled traces to the thread's TelemetryChannel.
class TelemetryTraceSink : public TraceSink {
 public:
  // `unix_epoch_offset` converts times of the thread's timer service to Unix
  // time.
  explicit TelemetryTraceSink(Duration unix_epoch_offset)
      : unix_epoch_offset_(unix_epoch_offset) {}

  bool ShouldRecord(const SpanContext& context) const override;
  void Emit(SpanRecord record) override;

 private:
  Duration unix_epoch_offset_;
};

// Never zero, as the W3C Trace Context specification requires.
SpanId RandomSpanId(RandomEngine& random);
// Parses a traceparent header. Starts a new, unsampled trace with a zero span
// id when the header is absent or malformed.
SpanContext ContextFromTraceparent(std::string_view traceparent,
                                   RandomEngine& random);
// Returns `traceparent` with its span id replaced. This is cheaper than
// building the header again, because formatting the trace id is the costliest
// part.
std::string WithSpanId(std::string_view traceparent, const SpanId& span);

}  // namespace jujubecove
