#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace jujubecove {

// Identifies a span and its trace, as in the W3C header `traceparent`. Neither
// id is all zeros.
struct SpanContext {
  std::array<std::uint8_t, 16> trace_id{};
  std::array<std::uint8_t, 8> span_id{};
  bool sampled = false;

  // 32 hexadecimal digits.
  std::string TraceIdText() const;
  // 16 hexadecimal digits.
  std::string SpanIdText() const;
  // The header value in version 00.
  std::string ToTraceparent() const;
  // Returns nullopt for a value that the specification says to ignore. Of
  // versions after 00, only the fields of version 00 are read.
  static std::optional<SpanContext> Parse(std::string_view traceparent);

  friend bool operator==(const SpanContext&, const SpanContext&) = default;
};

}  // namespace jujubecove
