#include "telemetry/span_context.h"

#include <algorithm>
#include <cstddef>

namespace jujubecove {
namespace {

constexpr char kHexDigits[] = "0123456789abcdef";
constexpr std::size_t kTraceparentSize = 55;
constexpr std::size_t kTraceIdOffset = 3;
constexpr std::size_t kSpanIdOffset = 36;
constexpr std::size_t kFlagsOffset = 53;
constexpr std::uint8_t kSampledFlag = 1;
constexpr std::uint8_t kInvalidVersion = 0xff;

template <std::size_t N>
std::string ToHex(const std::array<std::uint8_t, N>& bytes) {
  std::string text;
  for (std::uint8_t byte : bytes) {
    text += kHexDigits[byte >> 4U];
    text += kHexDigits[byte & 0xfU];
  }
  return text;
}

// Upper-case digits are invalid in a traceparent.
int HexDigitValue(char c) {
  if (c >= '0' && c <= '9')
    return c - '0';
  if (c >= 'a' && c <= 'f')
    return c - 'a' + 10;
  return -1;
}

template <std::size_t N>
bool ParseHex(std::string_view text, std::array<std::uint8_t, N>& bytes) {
  for (std::size_t n = 0; n < N; ++n) {
    int high = HexDigitValue(text[2 * n]);
    int low = HexDigitValue(text[2 * n + 1]);
    if (high < 0 || low < 0)
      return false;
    bytes[n] = static_cast<std::uint8_t>(high * 16 + low);
  }
  return true;
}

template <std::size_t N>
bool IsZero(const std::array<std::uint8_t, N>& bytes) {
  return std::all_of(bytes.begin(), bytes.end(),
                     [](std::uint8_t byte) { return byte == 0; });
}

}  // namespace

std::string SpanContext::TraceIdText() const {
  return ToHex(trace_id);
}

std::string SpanContext::SpanIdText() const {
  return ToHex(span_id);
}

std::string SpanContext::ToTraceparent() const {
  return "00-" + TraceIdText() + "-" + SpanIdText() + (sampled ? "-01" : "-00");
}

std::optional<SpanContext> SpanContext::Parse(std::string_view traceparent) {
  if (traceparent.size() < kTraceparentSize || traceparent[2] != '-' ||
      traceparent[kSpanIdOffset - 1] != '-' ||
      traceparent[kFlagsOffset - 1] != '-')
    return std::nullopt;
  SpanContext context;
  std::array<std::uint8_t, 1> version{};
  std::array<std::uint8_t, 1> flags{};
  if (!ParseHex(traceparent, version) ||
      !ParseHex(traceparent.substr(kTraceIdOffset), context.trace_id) ||
      !ParseHex(traceparent.substr(kSpanIdOffset), context.span_id) ||
      !ParseHex(traceparent.substr(kFlagsOffset), flags))
    return std::nullopt;
  bool has_more_fields = traceparent.size() > kTraceparentSize;
  if (version[0] == kInvalidVersion || (version[0] == 0 && has_more_fields) ||
      (has_more_fields && traceparent[kTraceparentSize] != '-') ||
      IsZero(context.trace_id) || IsZero(context.span_id))
    return std::nullopt;
  context.sampled = (flags[0] & kSampledFlag) != 0;
  return context;
}

}  // namespace jujubecove
