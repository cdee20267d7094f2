#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <sstream>
#include <string>
#include <string_view>

namespace jujubecove {

// One category for each subsystem that logs.
enum class LogCategory : std::uint8_t {
  kDaemon,
  kTelemetry,
  kFrontend,
  kGather,
  kAdmission,
  kRouting,
  kUpstream,
  kOnce,
  kDocument,
  kStore,
  kPeer,
  kMembership,
  kConfig,
};
inline constexpr int kLogCategoryCount =
    static_cast<int>(LogCategory::kConfig) + 1;

enum class LogLevel : std::uint8_t { kDebug, kInfo, kWarning, kError, kOff };

std::string_view NameOf(LogCategory category);
std::string_view NameOf(LogLevel level);

// One line of the log.
struct LogRecord {
  std::chrono::system_clock::time_point time;
  LogCategory category = LogCategory::kDaemon;
  LogLevel level = LogLevel::kInfo;
  // Name of the thread that logged.
  std::string thread;
  const char* file = "";
  int line = 0;
  std::string message;
};

// Messages below `level` are not logged. May be called at any time.
void SetLogLevel(LogCategory category, LogLevel level);
bool IsLogged(LogCategory category, LogLevel level);

enum class LogFormat : std::uint8_t { kText, kJson };

// Sets the format of WriteLogRecord. Must be called before threads start.
void SetLogFormat(LogFormat format);

// "time level category thread file:line] message", or one JSON object with
// these fields.
std::string FormatLogRecord(const LogRecord& record, LogFormat format);

// Receives formatted lines in place of easylogging++, which takes a lock and
// can block. Must be set before threads start, and only in a process with a
// single thread.
using LogOutput = std::function<void(std::string_view)>;
void SetLogOutput(LogOutput output);

// Writes to the LogOutput if one is set, otherwise to standard error through
// easylogging++.
void WriteLogRecord(const LogRecord& record);

// Collects one message and hands it to the ring of the thread's
// TelemetryChannel, or writes it at once on a thread without one.
class LogLine {
 public:
  LogLine(LogCategory category, LogLevel level, const char* file, int line);
  ~LogLine();
  LogLine(const LogLine&) = delete;
  LogLine& operator=(const LogLine&) = delete;

  std::ostream& stream() { return stream_; }

 private:
  LogRecord record_;
  std::ostringstream stream_;
};

}  // namespace jujubecove

#define JJ_LOG_LEVEL_DEBUG ::jujubecove::LogLevel::kDebug
#define JJ_LOG_LEVEL_INFO ::jujubecove::LogLevel::kInfo
#define JJ_LOG_LEVEL_WARNING ::jujubecove::LogLevel::kWarning
#define JJ_LOG_LEVEL_ERROR ::jujubecove::LogLevel::kError

// JJ_LOG(kRouting, INFO) << "message"; the operands are evaluated only if the
// category logs that level. The macro is a `for` rather than an `if`, so that
// an `else` after it belongs to the `if` before it.
#define JJ_LOG(category, level)                                        \
  for (bool jj_log_once = ::jujubecove::IsLogged(                      \
           ::jujubecove::LogCategory::category, JJ_LOG_LEVEL_##level); \
       jj_log_once; jj_log_once = false)                               \
  ::jujubecove::LogLine(::jujubecove::LogCategory::category,           \
                        JJ_LOG_LEVEL_##level, __FILE__, __LINE__)      \
      .stream()
