#include "front/front_settings.h"

#include <algorithm>
#include <fstream>
#include <iterator>

namespace jujubecove {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const Setting<std::string> kVmId(
    {.section = "vm",
     .key = "id",
     .accepted = {.min_size = 1, .max_size = 100},
     .doc = "Name of this VM, unique in the fleet."});
const Setting<std::string> kZone({.section = "vm",
                                  .key = "zone",
                                  .accepted = {.min_size = 1, .max_size = 64},
                                  .doc = "Availability zone of this VM."});
const Setting<std::int64_t> kMaxDescriptors(
    {.section = "vm",
     .key = "max_descriptors",
     .default_value = 1024,
     .accepted = {.min = 64, .max = 10'000'000},
     .doc = "Maximum number of open file descriptors. Half of them are for "
            "caller connections."});

const Setting<double> kMemory(
    {.section = "vm",
     .key = "memory_mb",
     .default_value = 512.0,
     .unit = "MB",
     .accepted = {.min = 16.0, .max = 1e6},
     .doc = "Memory of this process. Replies of searchers that are being "
            "received take at most an eighth of it."});

const Setting<double> kCpuShare(
    {.section = "vm",
     .key = "cpu_share",
     .default_value = 0.0,
     .accepted = {.min = 0.0, .max = 1e4},
     .doc = "Share of a processor core that this VM has. Other entry daemons "
            "ask larger VMs first whether these answer queries sooner. 0 means "
            "unknown."});

const Setting<SocketAddress> kCallers(
    {.section = "listen",
     .key = "callers",
     .doc = "Address of the callers' interface."});
const Setting<SocketAddress> kReadiness(
    {.section = "listen",
     .key = "readiness",
     .doc = "Address where the balancer checks readiness."});
const Setting<SocketAddress> kMetrics(
    {.section = "listen",
     .key = "metrics",
     .default_value = SocketAddress{"127.0.0.1", 0},
     .doc = "Address of the metrics. Port 0 disables them."});
const Setting<SocketAddress> kPeers(
    {.section = "listen",
     .key = "peers",
     .default_value = SocketAddress{"127.0.0.1", 0},
     .doc = "Address where other entry daemons call this one. Port 0 disables "
            "what needs such calls."});
const Setting<SocketAddress> kQueries(
    {.section = "listen",
     .key = "queries",
     .default_value = SocketAddress{"127.0.0.1", 0},
     .doc = "Address where other entry daemons hand over queries. Port 0 "
            "disables it."});

const Setting<SocketAddress> kStore(
    {.section = "store",
     .key = "address",
     .doc = "Address of the platform's store."});
const Setting<Duration> kStoreCallTimeout(
    {.section = "store",
     .key = "call_timeout_ms",
     .default_value = milliseconds(1000),
     .unit = "ms",
     .accepted = {.min = milliseconds(10), .max = seconds(60)},
     .doc = "A call without an answer after this time is retried on another "
            "connection. The store normally answers within a few "
            "milliseconds, and within half a second when it is slow."});
const Setting<Duration> kStoreSilence(
    {.section = "store",
     .key = "silence_ms",
     .default_value = milliseconds(4000),
     .unit = "ms",
     .accepted = {.min = milliseconds(1500), .max = seconds(30)},
     .doc = "A silent connection to the store is detected within this time. A "
            "watch waits for the time that the call timeout leaves of it."});

const Setting<double> kRetryBudgetRatio(
    {.section = "repeats",
     .key = "ratio",
     .default_value = 0.2,
     .accepted = {.min = 0.0, .max = 1.0},
     .doc =
         "Retries and hedges that the whole fleet may send to a service, as a "
         "share of the requests for it."});
const Setting<double> kRetryBudgetSlack(
    {.section = "repeats",
     .key = "slack",
     .default_value = 20.0,
     .accepted = {.min = 0.0, .max = 1e6},
     .doc = "Retries and hedges that the whole fleet may send in a window "
            "beyond the ratio."});
const Setting<std::int64_t> kRetryBudgetWindow(
    {.section = "repeats",
     .key = "window_s",
     .default_value = 10,
     .unit = "s",
     .accepted = {.min = 1, .max = 600},
     .doc = "Length of the sliding window of the retry budget."});

const Setting<std::int64_t> kDrainGrace(
    {.section = "drain",
     .key = "grace_s",
     .default_value = 6,
     .unit = "s",
     .accepted = {.min = 1, .max = 600},
     .doc = "Time from the stop signal until the process is killed."});

const Setting<Duration> kCallerRoundTrip(
    {.section = "dispatch",
     .key = "caller_round_trip_ms",
     .default_value = milliseconds(9),
     .unit = "ms",
     .accepted = {.max = seconds(1)},
     .doc = "Round trip time between a caller and this VM. A partial answer is "
            "sent this long before the route's target."});
const Setting<double> kHedgeQuantile(
    {.section = "dispatch",
     .key = "hedge_quantile",
     .default_value = 0.9,
     .accepted = {.min = 0.5, .max = 1.0},
     .doc =
         "An attempt that takes longer than this quantile of the recent ones "
         "is hedged on a second searcher."});

const Setting<std::int64_t> kLogLinesPerSecond(
    {.section = "log",
     .key = "lines_per_second",
     .default_value = 100,
     .unit = "1/s",
     .accepted = {.min = 0, .max = 100000},
     .doc =
         "Maximum number of lines per second and category; further lines are "
         "only counted."});
const Setting<LogLevel> kLogLevel({.section = "log",
                                   .key = "level",
                                   .default_value = LogLevel::kInfo,
                                   .accepted = {{"debug", LogLevel::kDebug},
                                                {"info", LogLevel::kInfo},
                                                {"warning", LogLevel::kWarning},
                                                {"error", LogLevel::kError},
                                                {"off", LogLevel::kOff}},
                                   .doc = "Lowest level that is written."});

// Allows for late timers and the transfer of the reply.
constexpr Duration kWatchMargin = milliseconds(200);
constexpr Duration kMinWatchWait = milliseconds(200);
// Half of the descriptors are for searchers, the store and files.
constexpr std::int64_t kDescriptorsPerCallerConnection = 2;
constexpr double kReplyMemoryShare = 0.125;
constexpr double kBytesPerMegabyte = 1048576.0;

}  // namespace

const SettingsSchema& FrontSchema() {
  static const SettingsSchema kSchema = {
      {.type = "vm",
       .settings = {&kVmId, &kZone, &kMaxDescriptors, &kMemory, &kCpuShare},
       .doc = "The VM."},
      {.type = "listen",
       .settings = {&kCallers, &kReadiness, &kMetrics, &kPeers, &kQueries},
       .doc = "Addresses of this process."},
      {.type = "store",
       .settings = {&kStore, &kStoreCallTimeout, &kStoreSilence},
       .doc = "The platform's store."},
      {.type = "repeats",
       .settings = {&kRetryBudgetRatio, &kRetryBudgetSlack,
                    &kRetryBudgetWindow},
       .doc = "Retries and hedges."},
      {.type = "drain", .settings = {&kDrainGrace}, .doc = "Shutdown."},
      {.type = "dispatch",
       .settings = {&kCallerRoundTrip, &kHedgeQuantile},
       .doc = "Decisions about requests."},
      {.type = "log",
       .settings = {&kLogLinesPerSecond, &kLogLevel},
       .doc = "The log."},
  };
  return kSchema;
}

FrontConfig MakeFrontConfig(const Settings& settings) {
  FrontConfig config;
  config.vm = VmId(settings.Get(kVmId));
  config.zone = ZoneName(settings.Get(kZone));
  config.listen_callers = settings.Get(kCallers);
  config.listen_readiness = settings.Get(kReadiness);
  config.listen_metrics = settings.Get(kMetrics);
  config.listen_peers = settings.Get(kPeers);
  config.listen_queries = settings.Get(kQueries);
  config.cpu_share = settings.Get(kCpuShare);
  config.store = settings.Get(kStore);
  config.store_call_timeout = settings.Get(kStoreCallTimeout);
  config.store_watch_wait = std::max(
      settings.Get(kStoreSilence) - config.store_call_timeout - kWatchMargin,
      kMinWatchWait);
  config.drain_grace = seconds(settings.Get(kDrainGrace));
  config.max_connections = static_cast<std::size_t>(
      settings.Get(kMaxDescriptors) / kDescriptorsPerCallerConnection);
  config.max_reply_memory = static_cast<std::size_t>(
      settings.Get(kMemory) * kBytesPerMegabyte * kReplyMemoryShare);
  config.log_lines_per_second =
      static_cast<int>(settings.Get(kLogLinesPerSecond));
  config.log_level = settings.Get(kLogLevel);
  config.dispatch.own_zone = config.zone;
  config.dispatch.retry_budget.ratio = settings.Get(kRetryBudgetRatio);
  config.dispatch.retry_budget.slack = settings.Get(kRetryBudgetSlack);
  config.dispatch.retry_budget.window =
      seconds(settings.Get(kRetryBudgetWindow));
  config.dispatch.caller_round_trip = settings.Get(kCallerRoundTrip);
  config.dispatch.hedge_quantile = settings.Get(kHedgeQuantile);
  return config;
}

FrontConfig LoadFrontConfig(const SettingsSource& source,
                            std::vector<SettingFault>& faults) {
  std::ifstream stream(source.path);
  std::string text((std::istreambuf_iterator<char>(stream)),
                   std::istreambuf_iterator<char>());
  if (!stream)
    faults.push_back(SettingFault{source.path, 0, "", "", "can't be read"});
  IniFile file = IniFile::Parse(source.path, text, faults);
  return MakeFrontConfig(
      Settings::Load(FrontSchema(), file, source.overrides, faults));
}

}  // namespace jujubecove
