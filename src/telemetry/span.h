#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "telemetry/span_context.h"

namespace jujubecove {

// The values are those of OTLP's SpanKind.
enum class SpanKind : std::uint8_t { kInternal = 1, kServer = 2, kClient = 3 };

// One operation of a distributed trace.
struct Span {
  SpanContext context;
  std::optional<std::array<std::uint8_t, 8>> parent_span_id;
  std::string name;
  SpanKind kind = SpanKind::kInternal;
  std::int64_t start_unix_us = 0;
  std::int64_t end_unix_us = 0;
  std::vector<std::pair<std::string, std::string>> attributes;
  // Empty when the operation succeeded.
  std::string error;
};

// Identifies the process in its spans.
struct SpanResource {
  std::string zone;
  std::string vm;
};

// Returns an OTLP ExportTraceServiceRequest that contains the span, as JSON on
// one line. Collectors read this format from files.
std::string ToOtlpJson(const Span& span, const SpanResource& resource);

}  // namespace jujubecove
