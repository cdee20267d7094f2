#pragma once

#include <string>

#include "dispatch/dispatch_options.h"
#include "settings/settings.h"
#include "telemetry/log.h"

namespace jujubecove {

// The settings of an entry daemon on the platform in typed form.
struct FrontConfig {
  VmId vm;
  ZoneName zone;
  SocketAddress listen_callers;
  SocketAddress listen_readiness;
  // Port 0 turns the metrics off.
  SocketAddress listen_metrics;
  SocketAddress store;
  Duration store_call_timeout{};
  Duration store_watch_wait{};
  // Time from the signal to stop until the process is killed.
  Duration drain_grace{};
  std::size_t max_connections = 0;
  int log_lines_per_second = 0;
  LogLevel log_level = LogLevel::kInfo;
  DispatchOptions dispatch;
};

const SettingsSchema& FrontSchema();
FrontConfig MakeFrontConfig(const Settings& settings);

// Reads the settings file and adds every fault with its line.
FrontConfig LoadFrontConfig(const std::string& path,
                            std::vector<SettingFault>& faults);

}  // namespace jujubecove
