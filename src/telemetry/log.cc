#include "telemetry/log.h"

#include "telemetry/easylogging_config.h"
// Needs the definitions of the header above.
#include <easylogging++.h>

#include <array>
#include <atomic>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <cstdio>
#include <cstring>
#include <ctime>
#include <utility>

#include "telemetry/telemetry_channel.h"

INITIALIZE_EASYLOGGINGPP

namespace jujubecove {
namespace {

constexpr std::array<std::string_view, kLogCategoryCount> kCategoryNames = {
    "daemon",  "telemetry",  "frontend", "gather",   "admission",
    "routing", "upstream",   "once",     "document", "store",
    "peer",    "membership", "config"};

std::array<std::atomic<LogLevel>, kLogCategoryCount> category_levels = {
    LogLevel::kInfo, LogLevel::kInfo, LogLevel::kInfo, LogLevel::kInfo,
    LogLevel::kInfo, LogLevel::kInfo, LogLevel::kInfo, LogLevel::kInfo,
    LogLevel::kInfo, LogLevel::kInfo, LogLevel::kInfo, LogLevel::kInfo,
    LogLevel::kInfo};

std::atomic<LogFormat> log_format{LogFormat::kText};

el::Level ToLibraryLevel(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return el::Level::Debug;
    case LogLevel::kInfo:
      return el::Level::Info;
    case LogLevel::kWarning:
      return el::Level::Warning;
    case LogLevel::kError:
    case LogLevel::kOff:
      break;
  }
  return el::Level::Error;
}

// UTC with milliseconds in the format of RFC 3339.
std::string FormatTime(std::chrono::system_clock::time_point time) {
  std::int64_t milliseconds =
      std::chrono::duration_cast<std::chrono::milliseconds>(
          time.time_since_epoch())
          .count();
  std::time_t seconds = static_cast<std::time_t>(milliseconds / 1000);
  std::tm utc{};
  gmtime_r(&seconds, &utc);
  std::array<char, 32> buf{};
  std::size_t size =
      std::strftime(buf.data(), buf.size(), "%Y-%m-%dT%H:%M:%S", &utc);
  std::snprintf(buf.data() + size, buf.size() - size, ".%03dZ",
                static_cast<int>(milliseconds % 1000));
  return buf.data();
}

LogOutput& CurrentOutput() {
  static LogOutput output;
  return output;
}

const char* BaseName(const char* path) {
  const char* slash = std::strrchr(path, '/');
  return slash == nullptr ? path : slash + 1;
}

// The easylogging++ logger of each category. Its format is the bare message,
// since FormatLogRecord has already built the whole line.
const std::array<el::Logger*, kLogCategoryCount>& Loggers() {
  static const std::array<el::Logger*, kLogCategoryCount> kLoggers = [] {
    el::Configurations configurations;
    configurations.setToDefault();
    configurations.setGlobally(el::ConfigurationType::Format, "%msg");
    configurations.setGlobally(el::ConfigurationType::ToFile, "false");
    std::array<el::Logger*, kLogCategoryCount> result{};
    for (int n = 0; n < kLogCategoryCount; ++n) {
      result[n] = el::Loggers::getLogger(std::string(kCategoryNames[n]));
      el::Loggers::reconfigureLogger(result[n], configurations);
    }
    return result;
  }();
  return kLoggers;
}

}  // namespace

std::string_view NameOf(LogCategory category) {
  return kCategoryNames[static_cast<std::size_t>(category)];
}

std::string_view NameOf(LogLevel level) {
  constexpr std::array<std::string_view, 5> kNames = {
      "debug", "info", "warning", "error", "off"};
  return kNames[static_cast<std::size_t>(level)];
}

void SetLogLevel(LogCategory category, LogLevel level) {
  category_levels[static_cast<std::size_t>(category)].store(
      level, std::memory_order_relaxed);
}

bool IsLogged(LogCategory category, LogLevel level) {
  return level >= category_levels[static_cast<std::size_t>(category)].load(
                      std::memory_order_relaxed);
}

void SetLogFormat(LogFormat format) {
  log_format.store(format);
}

std::string FormatLogRecord(const LogRecord& record, LogFormat format) {
  std::string source =
      BaseName(record.file) + std::string(":") + std::to_string(record.line);
  if (format == LogFormat::kJson) {
    boost::json::object object;
    object["time"] = FormatTime(record.time);
    object["level"] = NameOf(record.level);
    object["category"] = NameOf(record.category);
    object["thread"] = record.thread;
    object["source"] = source;
    object["message"] = record.message;
    return boost::json::serialize(object);
  }
  std::string message = record.message;
  // Replaces control characters, so that external text can't forge a log line.
  for (char& c : message) {
    if (static_cast<unsigned char>(c) < 0x20 || c == 0x7f)
      c = ' ';
  }
  return FormatTime(record.time) + " " + std::string(NameOf(record.level)) +
         " " + std::string(NameOf(record.category)) + " " + record.thread +
         " " + source + "] " + message;
}

void SetLogOutput(LogOutput output) {
  CurrentOutput() = std::move(output);
}

void WriteLogRecord(const LogRecord& record) {
  if (const LogOutput& output = CurrentOutput()) {
    output(FormatLogRecord(record, log_format.load()));
    return;
  }
  el::Logger* logger = Loggers()[static_cast<std::size_t>(record.category)];
  el::base::Writer(ToLibraryLevel(record.level), record.file,
                   static_cast<el::base::type::LineNumber>(record.line), "")
          .construct(logger)
      << FormatLogRecord(record, log_format.load());
}

LogLine::LogLine(LogCategory category,
                 LogLevel level,
                 const char* file,
                 int line) {
  record_.time = std::chrono::system_clock::now();
  record_.category = category;
  record_.level = level;
  record_.file = file;
  record_.line = line;
}

LogLine::~LogLine() {
  record_.message = stream_.str();
  TelemetryChannel* channel = ThisThreadTelemetryChannel();
  if (channel != nullptr) {
    channel->WriteLog(std::move(record_));
    return;
  }
  record_.thread = "main";
  WriteLogRecord(record_);
}

}  // namespace jujubecove
