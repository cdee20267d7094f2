#include "telemetry/telemetry_channel.h"

#include <utility>

namespace jujubecove {
namespace {

thread_local TelemetryChannel* this_thread_channel = nullptr;

}  // namespace

TelemetryChannel::TelemetryChannel(std::string thread_name,
                                   boost::asio::io_context& consumer,
                                   std::size_t capacity,
                                   Handler handler,
                                   MetricsRegistry& metrics)
    : thread_name_(std::move(thread_name)),
      ring_(consumer, capacity),
      dropped_logs_(metrics.AddCounter(
          "jujubecove_telemetry_dropped_logs_total",
          "Log lines dropped because the ring of a thread was full.",
          {{"thread", thread_name_}})),
      dropped_spans_(metrics.AddCounter(
          "jujubecove_telemetry_dropped_spans_total",
          "Spans dropped because the ring of a thread was full.",
          {{"thread", thread_name_}})) {
  ring_.SetHandler(std::move(handler));
}

void TelemetryChannel::WriteLog(LogRecord record) {
  record.thread = thread_name_;
  if (!ring_.TryPush(std::move(record)))
    dropped_logs_.Add();
}

void TelemetryChannel::WriteSpan(Span span) {
  if (!ring_.TryPush(std::move(span)))
    dropped_spans_.Add();
}

TelemetryChannel* ThisThreadTelemetryChannel() {
  return this_thread_channel;
}

void SetThisThreadTelemetryChannel(TelemetryChannel* channel) {
  this_thread_channel = channel;
}

}  // namespace jujubecove
