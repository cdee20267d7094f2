#pragma once

#include <string>

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

// Reads the settings file and appends every fault with its line.
FrontConfig LoadFrontConfig(const std::string& path,
                            std::vector<SettingFault>& faults);

}  // namespace jujubecove
