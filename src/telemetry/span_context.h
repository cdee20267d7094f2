#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace jujubecove {

// A position in a distributed trace, as the W3C header `traceparent` carries
// it. Neither id is all zeros.
struct SpanContext {
  std::array<std::uint8_t, 16> trace_id{};
  std::array<std::uint8_t, 8> span_id{};
  bool sampled = false;

  // 32 hexadecimal digits.
  std::string TraceIdText() const;
  // 16 hexadecimal digits.
  std::string SpanIdText() const;
  // The header value, version 00.
  std::string ToTraceparent() const;
  // Nothing for a value that the specification says to ignore. Versions after
  // 00 are read by the fields they share with it.
  static std::optional<SpanContext> Parse(std::string_view traceparent);

  friend bool operator==(const SpanContext&, const SpanContext&) = default;
};

}  // namespace jujubecove
