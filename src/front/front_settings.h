#pragma once

#include <string>
#include <vector>

#include "dispatch/dispatch_options.h"
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
  // Time from the stop signal until the process is killed.
  Duration drain_grace{};
  std::size_t max_connections = 0;
  // Limit on the replies of searchers that are being received.
  std::size_t max_reply_memory = std::size_t{64} << 20U;
  int log_lines_per_second = 0;
  LogLevel log_level = LogLevel::kInfo;
  DispatchOptions dispatch;
};

const SettingsSchema& FrontSchema();
FrontConfig MakeFrontConfig(const Settings& settings);

// Where settings come from: a file, and overrides of the command line
// ("section.key=value").
struct SettingsSource {
  SettingsSource(std::string file, std::vector<std::string> values = {})
      : path(std::move(file)), overrides(std::move(values)) {}

  SettingsSource(const char* file) : path(file) {}

  std::string path;
  std::vector<std::string> overrides;
};

// Reads the settings and appends every fault with its line.
FrontConfig LoadFrontConfig(const SettingsSource& source,
                            std::vector<SettingFault>& faults);

}  // namespace jujubecove
