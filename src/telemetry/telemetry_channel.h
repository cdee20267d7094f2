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

// The way from one thread to the telemetry thread: a bounded ring. A record
// that finds it full is dropped and counted.
class TelemetryChannel {
 public:
  using Handler = std::function<void(TelemetryRecord)>;

  // `handler` runs on the thread of `consumer`.
  TelemetryChannel(std::string thread_name,
                   boost::asio::io_context& consumer,
                   std::size_t capacity,
                   Handler handler,
                   MetricsRegistry& metrics);

  // Called by the owning thread.
  void WriteLog(LogRecord record);
  void WriteSpan(Span span);

  const std::string& thread_name() const { return thread_name_; }

 private:
  std::string thread_name_;
  Channel<TelemetryRecord> ring_;
  Counter& dropped_logs_;
  Counter& dropped_spans_;
};

// The port of the calling thread; null until it is set.
TelemetryChannel* ThisThreadTelemetryChannel();
void SetThisThreadTelemetryChannel(TelemetryChannel* port);

}  // namespace jujubecove
