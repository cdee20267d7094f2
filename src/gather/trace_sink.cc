#include "gather/trace_sink.h"

#include <cstddef>

#include "telemetry/span.h"
#include "telemetry/telemetry_channel.h"

namespace jujubecove {
namespace {

constexpr std::size_t kSpanIdOffset = 36;

template <std::size_t N>
void FillRandom(RandomEngine& random, std::array<std::uint8_t, N>& bytes) {
  for (std::size_t n = 0; n < N; n += sizeof(std::uint64_t)) {
    std::uint64_t value = random() | 1U;
    for (std::size_t k = 0; k < sizeof(value); ++k)
      bytes[n + k] = static_cast<std::uint8_t>(value >> (8 * k));
  }
}

}  // namespace

bool TelemetryTraceSink::ShouldRecord(const SpanContext& context) const {
  return context.sampled && ThisThreadTelemetryChannel() != nullptr;
}

void TelemetryTraceSink::Emit(SpanRecord record) {
  TelemetryChannel* channel = ThisThreadTelemetryChannel();
  if (channel == nullptr)
    return;
  Span span;
  span.context = record.context;
  span.parent_span_id = record.parent;
  span.name = std::string(record.name);
  span.start_unix_us =
      (record.start.time_since_epoch() + unix_epoch_offset_).count();
  span.end_unix_us =
      (record.end.time_since_epoch() + unix_epoch_offset_).count();
  for (std::pair<std::string_view, std::string>& it : record.attributes)
    span.attributes.emplace_back(std::string(it.first), std::move(it.second));
  channel->WriteSpan(std::move(span));
}

SpanId RandomSpanId(RandomEngine& random) {
  SpanId id{};
  FillRandom(random, id);
  return id;
}

SpanContext ContextFromTraceparent(std::string_view traceparent,
                                   RandomEngine& random) {
  std::optional<SpanContext> parsed = SpanContext::Parse(traceparent);
  if (parsed)
    return *parsed;
  SpanContext context;
  FillRandom(random, context.trace_id);
  return context;
}

std::string WithSpanId(std::string_view traceparent, const SpanId& span) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string out(traceparent);
  std::size_t at = kSpanIdOffset;
  for (std::uint8_t byte : span) {
    out[at++] = kDigits[byte >> 4U];
    out[at++] = kDigits[byte & 15U];
  }
  return out;
}

}  // namespace jujubecove
