#include "telemetry/tracer.h"

#include <cmath>
#include <cstddef>
#include <optional>
#include <utility>

namespace jujubecove {
namespace {

template <std::size_t N>
void FillRandomId(RandomEngine& random, std::array<std::uint8_t, N>& bytes) {
  for (std::size_t n = 0; n < N; n += sizeof(std::uint64_t)) {
    // The specification forbids ids that are all zeros.
    std::uint64_t value = random() | 1U;
    for (std::size_t k = 0; k < sizeof value; ++k)
      bytes[n + k] = static_cast<std::uint8_t>(value >> (8 * (7 - k)));
  }
}

}  // namespace

Tracer::Tracer(std::uint64_t seed,
               double sample_share,
               Duration unix_epoch_offset)
    : random_(seed),
      sample_threshold_(
          sample_share >= 1.0
              ? 0
              : static_cast<std::uint64_t>(std::ldexp(sample_share, 64))),
      sample_all_(sample_share >= 1.0),
      unix_epoch_offset_(unix_epoch_offset) {}

Span Tracer::Start(std::string name,
                   SpanKind kind,
                   std::string_view traceparent,
                   TimePoint now) {
  Span span;
  span.name = std::move(name);
  span.kind = kind;
  span.start_unix_us = (now.time_since_epoch() + unix_epoch_offset_).count();
  std::optional<SpanContext> parent = SpanContext::Parse(traceparent);
  if (parent) {
    span.context = *parent;
    span.parent_span_id = parent->span_id;
  } else {
    FillRandomId(random_, span.context.trace_id);
    span.context.sampled = sample_all_ || random_() < sample_threshold_;
  }
  FillRandomId(random_, span.context.span_id);
  return span;
}

void Tracer::Finish(Span span, TimePoint now) {
  TelemetryChannel* channel = ThisThreadTelemetryChannel();
  if (!span.context.sampled || channel == nullptr)
    return;
  span.end_unix_us = (now.time_since_epoch() + unix_epoch_offset_).count();
  channel->WriteSpan(std::move(span));
}

Duration UnixEpochOffset(std::chrono::system_clock::time_point unix_now,
                         TimePoint now) {
  return std::chrono::duration_cast<Duration>(unix_now.time_since_epoch()) -
         now.time_since_epoch();
}

}  // namespace jujubecove
