#pragma once

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <functional>
#include <string>
#include <variant>

#include "kernel/channel.h"
#include "telemetry/log.h"
#include "telemetry/metrics.h"
#include "telemetry/span.h"

namespace jujubecove {

using TelemetryRecord = std::variant<LogRecord, Span>;

// Passes the records of one thread to the telemetry thread through a bounded
// ring. When the ring is full, records are dropped and counted.
class TelemetryChannel {
 public:
  using Handler = std::function<void(TelemetryRecord)>;

  // `handler` runs on the thread that runs `consumer`.
  TelemetryChannel(std::string thread_name,
                   boost::asio::io_context& consumer,
                   std::size_t capacity,
                   Handler handler,
                   MetricsRegistry& metrics);

  // Must be called by the thread that owns the channel.
  void WriteLog(LogRecord record);
  void WriteSpan(Span span);

  const std::string& thread_name() const { return thread_name_; }

 private:
  std::string thread_name_;
  Channel<TelemetryRecord> ring_;
  Counter& dropped_logs_;
  Counter& dropped_spans_;
};

// The channel of the calling thread, or null if none is set.
TelemetryChannel* ThisThreadTelemetryChannel();
void SetThisThreadTelemetryChannel(TelemetryChannel* channel);

}  // namespace jujubecove
