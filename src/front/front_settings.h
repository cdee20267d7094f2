#pragma once

#include <string>
#include <vector>

#include "dispatch/dispatch_options.h"
#include "quota/quota_options.h"
#include "settings/settings.h"
#include "telemetry/log.h"

namespace jujubecove {

// The typed settings of an entry daemon on the platform.
struct FrontConfig {
  VmId vm;
  ZoneName zone;
  SocketAddress listen_callers;
  SocketAddress listen_readiness;
  // Port 0 disables the metrics.
  SocketAddress listen_metrics;
  // Where other entry daemons call this one. Port 0 disables what needs it.
  SocketAddress listen_peers;
  // Where other entry daemons hand over queries. Port 0 disables it.
  SocketAddress listen_queries;
  // Share of a processor core, or 0 if unknown.
  double cpu_share = 0.0;
  SocketAddress store;
  Duration store_call_timeout{};
  Duration store_watch_wait{};
  // Number of VMs in the zone from which on a few of them watch the store for
  // the others. Zero means never.
  int relay_min_vms = 0;
  // The longest wait of a reader's watch, and of a poll of a reader.
  Duration relay_reader_wait{};
  Duration relay_poll_wait{};
  // Time from the stop signal until the process is killed.
  Duration drain_grace{};
  std::size_t max_connections = 0;
  // For each of readiness and metrics, and for other entry daemons.
  std::size_t max_operations_connections = 64;
  std::size_t max_peer_connections = 1024;
  // Limit on the requests and answers of callers that are buffered.
  std::size_t max_caller_memory = std::size_t{128} << 20U;
  // Limit on the replies of searchers that are being received.
  std::size_t max_reply_memory = std::size_t{64} << 20U;
  int log_lines_per_second = 0;
  LogLevel log_level = LogLevel::kInfo;
  DispatchOptions dispatch;
  // The rate limits of workspaces are not enforced without a window.
  QuotaOptions quota;
};

const SettingsSchema& FrontSchema();
FrontConfig MakeFrontConfig(const Settings& settings);

// Where settings come from: a file, and overrides of the command line
// ("section.key=value").
struct SettingsSource {
  // Implicit, so that most users just name a file.
  // NOLINTNEXTLINE(google-explicit-constructor)
  SettingsSource(std::string file, std::vector<std::string> values = {})
      : path(std::move(file)), overrides(std::move(values)) {}
  // NOLINTNEXTLINE(google-explicit-constructor): allows a literal path.
  SettingsSource(const char* file) : path(file) {}

  std::string path;
  std::vector<std::string> overrides;
};

// Reads the settings and appends every fault with its line.
FrontConfig LoadFrontConfig(const SettingsSource& source,
                            std::vector<SettingFault>& faults);

}  // namespace jujubecove
