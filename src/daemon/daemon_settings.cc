#include "daemon/daemon_settings.h"

#include <chrono>
#include <memory>

namespace jujubecove {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr char kLoopback[] = "127.0.0.1";

// Log level of one category; kInherit uses the common level.
enum class CategoryLevel : std::uint8_t {
  kInherit,
  kDebug,
  kInfo,
  kWarning,
  kError,
  kOff,
};

const Setting<std::string> kVmId(
    {.section = "daemon",
     .key = "vm_id",
     .default_value = "entry",
     .accepted = {.min_size = 1, .max_size = 64},
     .doc = "Id of this VM in the platform's list."});
const Setting<std::string> kZone({.section = "daemon",
                                  .key = "zone",
                                  .default_value = "local",
                                  .accepted = {.min_size = 1, .max_size = 64},
                                  .doc = "Availability zone of this VM."});
const Setting<Duration> kShutdownGrace(
    {.section = "daemon",
     .key = "shutdown_grace_ms",
     .default_value = seconds(5),
     .unit = "ms",
     .accepted = {.max = minutes(5)},
     .doc = "Time after a signal during which the daemon reports not ready but "
            "still accepts connections, so that the balancer can react."});
const Setting<Duration> kShutdownLimit(
    {.section = "daemon",
     .key = "shutdown_limit_ms",
     .default_value = seconds(30),
     .unit = "ms",
     .accepted = {.max = minutes(10)},
     .doc = "Time after a signal at which requests in flight are cut off."});

const Setting<SocketAddress> kCallers(
    {.section = "listen",
     .key = "callers",
     .default_value = SocketAddress{kLoopback, 8080},
     .doc = "Address of the callers' interface."});
const Setting<SocketAddress> kOperations(
    {.section = "listen",
     .key = "operations",
     .default_value = SocketAddress{kLoopback, 0},
     .doc =
         "Separate address for health, metrics and status, which answers even "
         "when callers use up all connections. Port 0 disables it."});

const Setting<SocketAddress> kPlatform(
    {.section = "platform",
     .key = "address",
     .default_value = SocketAddress{kLoopback, 7400},
     .doc = "Address of the platform's store."});

const Setting<std::uint32_t> kHeaderBytes(
    {.section = "frontend",
     .key = "header_bytes",
     .default_value = ApiLimits().header_bytes,
     .unit = "bytes",
     .accepted = {.min = 1024, .max = 1024 * 1024},
     .doc = "Maximum size of the start line and of the header of a request."});
const Setting<std::uint32_t> kBodyBytes(
    {.section = "frontend",
     .key = "body_bytes",
     .default_value = ApiLimits().body_bytes,
     .unit = "bytes",
     .accepted = {.min = 1024, .max = 1024 * 1024},
     .doc = "Maximum size of the body of a request."});
const Setting<Duration> kFirstByteTimeout(
    {.section = "frontend",
     .key = "first_byte_ms",
     .default_value = ApiLimits().first_byte_timeout,
     .unit = "ms",
     .accepted = {.min = milliseconds(1)},
     .doc = "Timeout from accepting a connection to the first byte of a "
            "request."});
const Setting<Duration> kHeaderTimeout(
    {.section = "frontend",
     .key = "header_ms",
     .default_value = ApiLimits().header_timeout,
     .unit = "ms",
     .accepted = {.min = milliseconds(1)},
     .doc = "Timeout from the first to the last byte of a header."});
const Setting<Duration> kBodyTimeout(
    {.section = "frontend",
     .key = "body_ms",
     .default_value = ApiLimits().body_timeout,
     .unit = "ms",
     .accepted = {.min = milliseconds(1)},
     .doc = "Timeout from the last byte of the header to the last byte of the "
            "body."});
const Setting<Duration> kIdleTimeout(
    {.section = "frontend",
     .key = "idle_ms",
     .default_value = ApiLimits().idle_timeout,
     .unit = "ms",
     .accepted = {.min = milliseconds(1)},
     .doc = "Timeout from an answer to the next request on the connection."});
const Setting<Duration> kWriteTimeout(
    {.section = "frontend",
     .key = "write_ms",
     .default_value = ApiLimits().write_timeout,
     .unit = "ms",
     .accepted = {.min = milliseconds(1)},
     .doc = "Timeout for writing an answer."});
const Setting<Duration> kLingerTimeout(
    {.section = "frontend",
     .key = "linger_ms",
     .default_value = ApiLimits().linger_timeout,
     .unit = "ms",
     .accepted = {.min = milliseconds(1)},
     .doc = "Timeout for a caller to close the connection after the last "
            "answer."});
const Setting<std::uint32_t> kMaxConnections(
    {.section = "frontend",
     .key = "connections",
     .default_value = ApiLimits().connections,
     .accepted = {.min = 1, .max = 100'000},
     .doc =
         "Maximum number of caller connections. Each can buffer a header and "
         "a body."});
const Setting<std::uint32_t> kMaxRequestsInFlight(
    {.section = "frontend",
     .key = "requests_in_flight",
     .default_value = ApiLimits().requests_in_flight,
     .accepted = {.min = 1, .max = 1'000'000},
     .doc = "Maximum number of caller requests in flight."});
const Setting<std::uint32_t> kRingCapacity(
    {.section = "frontend",
     .key = "ring_messages",
     .default_value = ApiLimits().ring_capacity,
     .accepted = {.min = 1, .max = 1'000'000},
     .doc =
         "Capacity of the ring from the frontend thread to the query thread."});

const Setting<std::uint32_t> kOutstandingAttempts(
    {.section = "upstream",
     .key = "outstanding_attempts",
     .default_value = 65'536,
     .accepted = {.min = 256, .max = 1'000'000},
     .doc = "Maximum number of attempts in flight on each upstream thread."});
const Setting<std::uint32_t> kUpstreamThreads(
    {.section = "upstream",
     .key = "threads",
     .default_value = 2,
     .accepted = {.min = 1, .max = 16},
     .doc = "Threads that share the connections to searchers. More threads "
            "make a fan-out faster and use more cores."});

const Setting<bool> kBaseline(
    {.section = "policy",
     .key = "baseline",
     .default_value = false,
     .doc =
         "Chooses random replicas, without hedging and admission control, as "
         "a baseline for comparisons."});

const Setting<LogFormat> kLogFormat(
    {.section = "log",
     .key = "format",
     .default_value = LogFormat::kText,
     .accepted = {{"text", LogFormat::kText}, {"json", LogFormat::kJson}},
     .doc = "One line of text, or one JSON object, for each record."});
const Setting<LogLevel> kLogLevel({.section = "log",
                                   .key = "level",
                                   .default_value = LogLevel::kInfo,
                                   .accepted = {{"debug", LogLevel::kDebug},
                                                {"info", LogLevel::kInfo},
                                                {"warning", LogLevel::kWarning},
                                                {"error", LogLevel::kError},
                                                {"off", LogLevel::kOff}},
                                   .doc = "Lowest level that is written."});

const Setting<double> kTraceShare(
    {.section = "trace",
     .key = "sample_share",
     .default_value = 0.0,
     .accepted = {.min = 0.0, .max = 1.0},
     .doc = "Share of the traces started by this daemon that are sampled. A "
            "caller's traceparent decides for its own trace."});
const Setting<std::string> kTracePath(
    {.section = "trace",
     .key = "path",
     .default_value = "",
     .doc = "File for spans as OTLP/JSON lines; '-' is standard output, empty "
            "disables it."});
const Setting<std::uint32_t> kTelemetryRingCapacity(
    {.section = "trace",
     .key = "ring_records",
     .default_value = 8'192,
     .accepted = {.min = 16, .max = 1'000'000},
     .doc =
         "Capacity of the ring from each thread to the telemetry thread, for "
         "log records and spans."});

using CategorySettings = std::vector<std::unique_ptr<Setting<CategoryLevel>>>;

const CategorySettings& LogCategorySettings() {
  static const CategorySettings kSettings = [] {
    CategorySettings settings;
    for (int n = 0; n < kLogCategoryCount; ++n) {
      std::string name(NameOf(static_cast<LogCategory>(n)));
      settings.push_back(
          std::make_unique<Setting<CategoryLevel>>(SettingSpec<CategoryLevel>{
              .section = "log",
              .key = name,
              .default_value = CategoryLevel::kInherit,
              .accepted = {{"inherit", CategoryLevel::kInherit},
                           {"debug", CategoryLevel::kDebug},
                           {"info", CategoryLevel::kInfo},
                           {"warning", CategoryLevel::kWarning},
                           {"error", CategoryLevel::kError},
                           {"off", CategoryLevel::kOff}},
              .doc = "Lowest level of this category that is written; inherit "
                     "uses the key level."}));
    }
    return settings;
  }();
  return kSettings;
}

SettingSection LogSection() {
  SettingSection section{"log", false, {&kLogFormat, &kLogLevel}, "Log."};
  for (const std::unique_ptr<Setting<CategoryLevel>>& it :
       LogCategorySettings())
    section.settings.push_back(it.get());
  return section;
}

LogLevel LevelOf(CategoryLevel level, LogLevel inherited) {
  if (level == CategoryLevel::kInherit)
    return inherited;
  return static_cast<LogLevel>(static_cast<int>(level) - 1);
}
static_assert(static_cast<int>(CategoryLevel::kOff) - 1 ==
              static_cast<int>(LogLevel::kOff));

ApiLimits MakeApiLimits(const Settings& settings) {
  ApiLimits limits;
  limits.header_bytes = settings.Get(kHeaderBytes);
  limits.body_bytes = settings.Get(kBodyBytes);
  limits.first_byte_timeout = settings.Get(kFirstByteTimeout);
  limits.header_timeout = settings.Get(kHeaderTimeout);
  limits.body_timeout = settings.Get(kBodyTimeout);
  limits.idle_timeout = settings.Get(kIdleTimeout);
  limits.write_timeout = settings.Get(kWriteTimeout);
  limits.linger_timeout = settings.Get(kLingerTimeout);
  limits.connections = settings.Get(kMaxConnections);
  limits.requests_in_flight = settings.Get(kMaxRequestsInFlight);
  limits.ring_capacity = settings.Get(kRingCapacity);
  return limits;
}

}  // namespace

const SettingsSchema& DaemonSchema() {
  static const SettingsSchema kSchema = {
      {"daemon",
       false,
       {&kVmId, &kZone, &kShutdownGrace, &kShutdownLimit},
       "This process."},
      {"listen", false, {&kCallers, &kOperations}, "Addresses."},
      {"platform", false, {&kPlatform}, "The platform."},
      {"frontend",
       false,
       {&kHeaderBytes, &kBodyBytes, &kFirstByteTimeout, &kHeaderTimeout,
        &kBodyTimeout, &kIdleTimeout, &kWriteTimeout, &kLingerTimeout,
        &kMaxConnections, &kMaxRequestsInFlight, &kRingCapacity},
       "Limits for callers."},
      {"upstream",
       false,
       {&kOutstandingAttempts, &kUpstreamThreads},
       "Limits for searchers."},
      {"policy", false, {&kBaseline}, "Decisions."},
      LogSection(),
      {"trace",
       false,
       {&kTraceShare, &kTracePath, &kTelemetryRingCapacity},
       "Traces, and the ring to the telemetry thread."},
  };
  return kSchema;
}

DaemonConfig MakeDaemonConfig(const Settings& settings) {
  DaemonConfig config;
  config.vm = VmId(settings.Get(kVmId));
  config.zone = ZoneName(settings.Get(kZone));
  config.listen_callers = settings.Get(kCallers);
  config.listen_operations = settings.Get(kOperations);
  config.platform = settings.Get(kPlatform);
  config.frontend = MakeApiLimits(settings);
  config.shutdown_grace = settings.Get(kShutdownGrace);
  config.shutdown_limit = settings.Get(kShutdownLimit);
  config.outstanding_attempts = settings.Get(kOutstandingAttempts);
  config.upstream_threads = settings.Get(kUpstreamThreads);
  config.baseline = settings.Get(kBaseline);
  config.log_format = settings.Get(kLogFormat);
  LogLevel level = settings.Get(kLogLevel);
  for (int n = 0; n < kLogCategoryCount; ++n)
    config.log_levels[n] =
        LevelOf(settings.Get(*LogCategorySettings()[n]), level);
  config.trace_share = settings.Get(kTraceShare);
  config.trace_path = settings.Get(kTracePath);
  config.telemetry_ring_capacity = settings.Get(kTelemetryRingCapacity);
  return config;
}

}  // namespace jujubecove
