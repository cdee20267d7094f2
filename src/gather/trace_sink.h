#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/units.h"

namespace jujubecove {

// The 128-bit trace id of W3C Trace Context.
struct TraceId {
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  friend bool operator==(const TraceId&, const TraceId&) = default;
};

// One finished span. Names and attribute keys are string literals.
struct SpanRecord {
  TraceId trace;
  std::uint64_t span = 0;
  // Zero for the first span of a trace.
  std::uint64_t parent = 0;
  std::string_view name;
  TimePoint start;
  TimePoint end;
  std::vector<std::pair<std::string_view, std::string>> attributes;
};

// Receives the spans of the query thread. It must not block.
class TraceSink {
 public:
  virtual ~TraceSink() = default;

  // Whether the spans of this trace are wanted. `sampled` is the caller's flag.
  virtual bool Wants(const TraceId& trace, bool sampled) const = 0;
  virtual void Emit(SpanRecord record) = 0;
};

}  // namespace jujubecove
