#include "telemetry/telemetry_writer.h"

#include <iostream>
#include <utility>

namespace jujubecove {

TelemetryWriter::TelemetryWriter(boost::asio::io_context& context,
                                 MetricsRegistry& metrics,
                                 SpanResource resource,
                                 const std::string& span_path)
    : context_(context),
      metrics_(metrics),
      resource_(std::move(resource)),
      written_spans_(
          metrics.AddCounter("jujubecove_telemetry_written_spans_total",
                             "Spans written.")) {
  if (span_path.empty())
    return;
  if (span_path == "-") {
    span_stream_ = &std::cout;
    return;
  }
  span_file_.open(span_path, std::ios::app);
  good_ = span_file_.good();
  if (good_)
    span_stream_ = &span_file_;
}

TelemetryChannel& TelemetryWriter::AddChannel(const std::string& thread_name,
                                              std::size_t capacity) {
  channels_.push_back(std::make_unique<TelemetryChannel>(
      thread_name, context_, capacity,
      [this](TelemetryRecord record) { Write(record); }, metrics_));
  return *channels_.back();
}

void TelemetryWriter::Write(const TelemetryRecord& record) {
  if (const LogRecord* log = std::get_if<LogRecord>(&record))
    WriteLogRecord(*log);
  else
    WriteSpan(std::get<Span>(record));
}

void TelemetryWriter::WriteSpan(const Span& span) {
  if (span_stream_ == nullptr)
    return;
  // Flushes each line, so that readers of the file see only whole lines.
  *span_stream_ << ToOtlpJson(span, resource_) << '\n' << std::flush;
  written_spans_.Add();
}

}  // namespace jujubecove
