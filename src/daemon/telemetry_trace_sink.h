#pragma once

#include "base/units.h"
#include "gather/trace_sink.h"

namespace jujubecove {

// Hands the engine's spans to the query thread's TelemetryPort.
class TelemetryTraceSink : public TraceSink {
 public:
  // The offset is added to times of the timer service to give Unix time.
  explicit TelemetryTraceSink(Duration unix_epoch_offset)
      : unix_epoch_offset_(unix_epoch_offset) {}

  // The frontend has decided on the traces that start here.
  bool Wants(const TraceId& trace, bool sampled) const override;
  void Emit(SpanRecord record) override;

 private:
  Duration unix_epoch_offset_;
};

}  // namespace jujubecove
