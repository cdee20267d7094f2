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

  // Whether the spans of this trace are wanted.
  virtual bool Wants(const SpanContext& context) const = 0;
  virtual void Emit(SpanRecord record) = 0;
};

// Hands the spans of sampled traces to the thread's TelemetryPort.
class TelemetryTraceSink : public TraceSink {
 public:
  // `unix_epoch_offset` is added to times of the thread's timer service.
  explicit TelemetryTraceSink(Duration unix_epoch_offset)
      : unix_epoch_offset_(unix_epoch_offset) {}

  bool Wants(const SpanContext& context) const override;
  void Emit(SpanRecord record) override;

 private:
  Duration unix_epoch_offset_;
};

// A span id that is not zero, as the specification demands.
SpanId DrawSpanId(RandomEngine& random);
// The context of a header value; a new unsampled trace without a span when it
// is absent or malformed.
SpanContext ContextOf(std::string_view traceparent, RandomEngine& random);
// The header value for another span of the same trace. `traceparent` is the
// value for one span of it; formatting the trace id again costs more than the
// rest of the value.
std::string WithSpan(std::string_view traceparent, const SpanId& span);

}  // namespace jujubecove
