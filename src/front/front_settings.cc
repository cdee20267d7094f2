#include "front/front_settings.h"

#include <algorithm>
#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>
#include <fstream>
#include <iterator>
#include <map>
#include <optional>

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
const Setting<std::string> kRegion({.section = "vm",
                                    .key = "region",
                                    .default_value = "",
                                    .accepted = {.max_size = 64},
                                    .doc = "Region of this VM."});
const Setting<std::string> kZoneRegions(
    {.section = "vm",
     .key = "zone_regions",
     .default_value = "",
     .accepted = {.max_size = 64U << 10U},
     .doc =
         "JSON object with the region of each availability zone. Without it, "
         "routes and workspaces are not limited to regions."});
const Setting<std::int64_t> kMaxDescriptors(
    {.section = "vm",
     .key = "max_descriptors",
     .default_value = 1024,
     .accepted = {.min = 64, .max = 10'000'000},
     .doc = "Maximum number of open file descriptors. Half of them are for "
            "caller connections, at most an eighth for connections of other "
            "entry daemons, and at most a sixteenth each for readiness and "
            "metrics."});

const Setting<double> kMemory(
    {.section = "vm",
     .key = "memory_mb",
     .default_value = 512.0,
     .unit = "MB",
     .accepted = {.min = 16.0, .max = 1e6},
     .doc = "Memory of this process. Replies of searchers that are being "
            "received take at most an eighth of it."});

const Setting<double> kCallerMemoryShare(
    {.section = "vm",
     .key = "caller_memory_share",
     .default_value = 0.25,
     .accepted = {.min = 0.01, .max = 0.9},
     .doc = "Share of the memory for requests that are read or in progress and "
            "for unsent answers, on all connections. Over it, the largest "
            "incomplete requests are refused and unread answers dropped."});
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
const Setting<std::int64_t> kRelayMinVms(
    {.section = "store",
     .key = "relay_min_vms",
     .default_value = 16,
     .accepted = {.min = 0, .max = 100000},
     .doc = "In an availability zone with at least so many entry VMs, two of "
            "them watch the store and pass changes on to the others at "
            "listen.peers. 0 means that every VM watches the store."});

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

const Setting<std::int64_t> kQuotaWindow(
    {.section = "quota",
     .key = "window_s",
     .default_value = 0,
     .unit = "s",
     .accepted = {.min = 0, .max = 600},
     .doc = "Length of the sliding window in which the rate limits of "
            "workspaces hold over the whole fleet. 0 disables them; they also "
            "need listen.peers."});
const Setting<double> kQuotaOverage(
    {.section = "quota",
     .key = "overage",
     .default_value = 0.1,
     .accepted = {.min = 0.0, .max = 1.0},
     .doc = "Requests that the fleet may admit in a window beyond the limit of "
            "a workspace, as a share of it."});
const Setting<double> kQuotaSlack(
    {.section = "quota",
     .key = "slack",
     .default_value = 20.0,
     .accepted = {.min = 0.0, .max = 1e6},
     .doc = "Requests that the fleet may admit in a window beyond the limit "
            "and the overage."});

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
// Shares of the time in which a silent store is detected.
constexpr double kReaderWaitShare = 0.3;
constexpr double kPollWaitShare = 0.2;
// Shares of the descriptors. The rest is for searchers, the store and files.
constexpr std::int64_t kDescriptorsPerCallerConnection = 2;
constexpr std::int64_t kDescriptorsPerPeerConnection = 8;
constexpr std::int64_t kDescriptorsPerOperationsConnection = 16;
constexpr std::int64_t kMaxPeerConnections = 1024;
constexpr std::int64_t kMaxOperationsConnections = 64;
constexpr double kReplyMemoryShare = 0.125;
constexpr double kBytesPerMegabyte = 1048576.0;

Duration Scale(Duration time, double share) {
  return Duration(
      static_cast<Duration::rep>(static_cast<double>(time.count()) * share));
}

}  // namespace

const SettingsSchema& FrontSchema() {
  static const SettingsSchema kSchema = {
      {.type = "vm",
       .settings = {&kVmId, &kZone, &kRegion, &kZoneRegions, &kMaxDescriptors,
                    &kMemory, &kCallerMemoryShare, &kCpuShare},
       .doc = "The VM."},
      {.type = "listen",
       .settings = {&kCallers, &kReadiness, &kMetrics, &kPeers, &kQueries},
       .doc = "Addresses of this process."},
      {.type = "store",
       .settings = {&kStore, &kStoreCallTimeout, &kStoreSilence, &kRelayMinVms},
       .doc = "The platform's store."},
      {.type = "repeats",
       .settings = {&kRetryBudgetRatio, &kRetryBudgetSlack,
                    &kRetryBudgetWindow},
       .doc = "Retries and hedges."},
      {.type = "quota",
       .settings = {&kQuotaWindow, &kQuotaOverage, &kQuotaSlack},
       .doc = "Rate limits of workspaces."},
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

namespace {

// Returns nullopt if the text is not a JSON object of texts.
std::optional<std::map<ZoneName, RegionName>> ParseZoneRegions(
    const std::string& text) {
  std::map<ZoneName, RegionName> regions;
  if (text.empty())
    return regions;
  boost::system::error_code ec;
  boost::json::value value = boost::json::parse(text, ec);
  if (ec || !value.is_object())
    return std::nullopt;
  for (const auto& it : value.get_object()) {
    if (!it.value().is_string())
      return std::nullopt;
    regions[ZoneName(std::string(it.key()))] =
        RegionName(std::string(it.value().get_string()));
  }
  return regions;
}

void SetRegions(const Settings& settings, DispatchOptions& options) {
  options.zone_regions = ParseZoneRegions(settings.Get(kZoneRegions))
                             .value_or(std::map<ZoneName, RegionName>());
  // The own zone may be newer than the list.
  if (!options.zone_regions.empty() && !settings.Get(kRegion).empty())
    options.zone_regions[options.own_zone] = RegionName(settings.Get(kRegion));
}

}  // namespace

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
  config.relay_min_vms = static_cast<int>(settings.Get(kRelayMinVms));
  config.relay_reader_wait =
      Scale(settings.Get(kStoreSilence), kReaderWaitShare);
  config.relay_poll_wait = Scale(settings.Get(kStoreSilence), kPollWaitShare);
  config.drain_grace = seconds(settings.Get(kDrainGrace));
  config.max_connections = static_cast<std::size_t>(
      settings.Get(kMaxDescriptors) / kDescriptorsPerCallerConnection);
  config.max_peer_connections = static_cast<std::size_t>(
      std::min(settings.Get(kMaxDescriptors) / kDescriptorsPerPeerConnection,
               kMaxPeerConnections));
  config.max_operations_connections = static_cast<std::size_t>(std::min(
      settings.Get(kMaxDescriptors) / kDescriptorsPerOperationsConnection,
      kMaxOperationsConnections));
  config.max_caller_memory =
      static_cast<std::size_t>(settings.Get(kMemory) * kBytesPerMegabyte *
                               settings.Get(kCallerMemoryShare));
  config.max_reply_memory = static_cast<std::size_t>(
      settings.Get(kMemory) * kBytesPerMegabyte * kReplyMemoryShare);
  config.log_lines_per_second =
      static_cast<int>(settings.Get(kLogLinesPerSecond));
  config.log_level = settings.Get(kLogLevel);
  config.dispatch.own_zone = config.zone;
  SetRegions(settings, config.dispatch);
  config.dispatch.retry_budget.ratio = settings.Get(kRetryBudgetRatio);
  config.dispatch.retry_budget.slack = settings.Get(kRetryBudgetSlack);
  config.dispatch.retry_budget.window =
      seconds(settings.Get(kRetryBudgetWindow));
  // The limits need calls between the daemons.
  if (config.listen_peers.port != 0)
    config.quota.window = seconds(settings.Get(kQuotaWindow));
  config.quota.overage = settings.Get(kQuotaOverage);
  config.quota.slack = settings.Get(kQuotaSlack);
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
  Settings settings =
      Settings::Load(FrontSchema(), file, source.overrides, faults);
  if (!ParseZoneRegions(settings.Get(kZoneRegions))) {
    faults.push_back(settings.FaultAt(
        kZoneRegions, "", "is not a JSON object of zones with their regions"));
  }
  return MakeFrontConfig(settings);
}

}  // namespace jujubecove
