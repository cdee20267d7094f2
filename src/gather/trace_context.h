#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "base/random.h"
#include "gather/trace_sink.h"

namespace jujubecove {

// What a traceparent header carries.
struct TraceContext {
  TraceId trace;
  std::uint64_t span = 0;
  bool sampled = false;
};

// The context of `traceparent`, or a new unsampled trace without a parent span
// when the header is absent or malformed.
TraceContext ParseTraceparent(std::string_view traceparent,
                              RandomEngine& random);
std::string FormatTraceparent(const TraceContext& context);
std::string FormatTraceId(const TraceId& trace);

}  // namespace jujubecove
