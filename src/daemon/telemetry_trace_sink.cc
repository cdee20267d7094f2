#include "daemon/telemetry_trace_sink.h"

#include <cstddef>
#include <string>
#include <utility>

#include "telemetry/telemetry_port.h"

namespace jujubecove {
namespace {

// Big-endian, as a traceparent writes it.
template <typename Bytes>
void PutNumber(std::uint64_t value, Bytes& bytes, std::size_t at) {
  for (std::size_t n = 0; n < sizeof value; ++n)
    bytes[at + n] = static_cast<std::uint8_t>(value >> (8 * (7 - n)));
}

}  // namespace

bool TelemetryTraceSink::Wants(const TraceId&, bool sampled) const {
  return sampled;
}

void TelemetryTraceSink::Emit(SpanRecord record) {
  TelemetryPort* port = ThisThreadTelemetryPort();
  if (port == nullptr)
    return;
  Span span;
  PutNumber(record.trace.high, span.context.trace_id, 0);
  PutNumber(record.trace.low, span.context.trace_id, sizeof(std::uint64_t));
  PutNumber(record.span, span.context.span_id, 0);
  span.context.sampled = true;
  if (record.parent != 0) {
    span.parent_span_id.emplace();
    PutNumber(record.parent, *span.parent_span_id, 0);
  }
  span.name = std::string(record.name);
  span.start_unix_us =
      (record.start.time_since_epoch() + unix_epoch_offset_).count();
  span.end_unix_us =
      (record.end.time_since_epoch() + unix_epoch_offset_).count();
  for (std::pair<std::string_view, std::string>& it : record.attributes)
    span.attributes.emplace_back(std::string(it.first), std::move(it.second));
  port->WriteSpan(std::move(span));
}

}  // namespace jujubecove
