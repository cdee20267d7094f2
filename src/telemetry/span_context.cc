#include "telemetry/span_context.h"

#include <algorithm>
#include <cstddef>

namespace jujubecove {
namespace {

constexpr char kHexDigits[] = "0123456789abcdef";
constexpr std::size_t kTraceparentSize = 55;
constexpr std::size_t kTraceIdAt = 3;
constexpr std::size_t kSpanIdAt = 36;
constexpr std::size_t kFlagsAt = 53;
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
int DigitOf(char c) {
  if (c >= '0' && c <= '9')
    return c - '0';
  if (c >= 'a' && c <= 'f')
    return c - 'a' + 10;
  return -1;
}

template <std::size_t N>
bool ParseHex(std::string_view text, std::array<std::uint8_t, N>& bytes) {
  for (std::size_t n = 0; n < N; ++n) {
    int high = DigitOf(text[2 * n]);
    int low = DigitOf(text[2 * n + 1]);
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
      traceparent[kSpanIdAt - 1] != '-' || traceparent[kFlagsAt - 1] != '-')
    return std::nullopt;
  SpanContext context;
  std::array<std::uint8_t, 1> version{};
  std::array<std::uint8_t, 1> flags{};
  if (!ParseHex(traceparent, version) ||
      !ParseHex(traceparent.substr(kTraceIdAt), context.trace_id) ||
      !ParseHex(traceparent.substr(kSpanIdAt), context.span_id) ||
      !ParseHex(traceparent.substr(kFlagsAt), flags))
    return std::nullopt;
  bool longer = traceparent.size() > kTraceparentSize;
  if (version[0] == kInvalidVersion || (version[0] == 0 && longer) ||
      (longer && traceparent[kTraceparentSize] != '-') ||
      IsZero(context.trace_id) || IsZero(context.span_id))
    return std::nullopt;
  context.sampled = (flags[0] & kSampledFlag) != 0;
  return context;
}

}  // namespace jujubecove
