#pragma once

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <fstream>
#include <memory>
#include <string>
#include <vector>

#include "telemetry/metrics.h"
#include "telemetry/span.h"
#include "telemetry/telemetry_channel.h"

namespace jujubecove {

// Writes log lines to standard error and spans to a file, on the telemetry
// thread.
class TelemetryWriter {
 public:
  // With an empty `span_path` spans are discarded; "-" is standard output.
  TelemetryWriter(boost::asio::io_context& context,
                  MetricsRegistry& metrics,
                  SpanResource resource,
                  const std::string& span_path);

  // Called during startup. The channel stays valid as long as the writer.
  TelemetryChannel& AddChannel(const std::string& thread_name,
                               std::size_t capacity);
  // False if the span file could not be opened.
  bool good() const { return good_; }

 private:
  void Write(const TelemetryRecord& record);
  void WriteSpan(const Span& span);

  boost::asio::io_context& context_;
  MetricsRegistry& metrics_;
  SpanResource resource_;
  std::ofstream span_file_;
  // Null when spans are discarded.
  std::ostream* span_stream_ = nullptr;
  bool good_ = true;
  Counter& written_spans_;
  std::vector<std::unique_ptr<TelemetryChannel>> channels_;
};

}  // namespace jujubecove
