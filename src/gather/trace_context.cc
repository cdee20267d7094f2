#include "gather/trace_context.h"

#include <charconv>
#include <cstddef>

namespace jujubecove {
namespace {

constexpr std::size_t kTraceparentSize = 55;
constexpr std::size_t kHexDigits = 16;

void AppendHex(std::string& out, std::uint64_t value) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  for (int shift = 60; shift >= 0; shift -= 4)
    out.push_back(kDigits[(value >> static_cast<unsigned>(shift)) & 15U]);
}

bool ParseHex(std::string_view text, std::uint64_t& value) {
  const char* end = text.data() + text.size();
  std::from_chars_result result =
      std::from_chars(text.data(), end, value, kHexDigits);
  return result.ec == std::errc() && result.ptr == end;
}

bool Parse(std::string_view text, TraceContext& context) {
  if (text.size() != kTraceparentSize || text.substr(0, 3) != "00-" ||
      text[35] != '-' || text[52] != '-')
    return false;
  std::uint64_t flags = 0;
  if (!ParseHex(text.substr(3, kHexDigits), context.trace.high) ||
      !ParseHex(text.substr(19, kHexDigits), context.trace.low) ||
      !ParseHex(text.substr(36, kHexDigits), context.span) ||
      !ParseHex(text.substr(53, 2), flags))
    return false;
  context.sampled = (flags & 1U) != 0;
  return context.span != 0 &&
         (context.trace.high != 0 || context.trace.low != 0);
}

}  // namespace

TraceContext ParseTraceparent(std::string_view traceparent,
                              RandomEngine& random) {
  TraceContext context;
  if (Parse(traceparent, context))
    return context;
  return TraceContext{TraceId{random(), random()}, 0, false};
}

std::string FormatTraceparent(const TraceContext& context) {
  std::string out;
  out.reserve(kTraceparentSize);
  out.append("00-");
  AppendHex(out, context.trace.high);
  AppendHex(out, context.trace.low);
  out.push_back('-');
  AppendHex(out, context.span);
  out.append(context.sampled ? "-01" : "-00");
  return out;
}

std::string FormatTraceId(const TraceId& trace) {
  std::string out;
  out.reserve(2 * kHexDigits);
  AppendHex(out, trace.high);
  AppendHex(out, trace.low);
  return out;
}

}  // namespace jujubecove
