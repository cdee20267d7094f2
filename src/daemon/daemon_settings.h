#pragma once

#include <array>
#include <string>
#include <vector>

#include "api/api_limits.h"
#include "base/ids.h"
#include "base/units.h"
#include "settings/settings.h"
#include "settings/socket_address.h"
#include "telemetry/log.h"

namespace jujubecove {

// The typed settings of an entry daemon.
struct DaemonConfig {
  VmId vm;
  ZoneName zone;
  SocketAddress listen_callers;
  // Port 0 disables the separate operations address.
  SocketAddress listen_operations;
  SocketAddress platform;
  ApiLimits frontend;
  Duration shutdown_grace{};
  Duration shutdown_limit{};
  std::uint32_t outstanding_attempts = 0;
  std::uint32_t upstream_threads = 1;
  // Chooses random replicas, without hedging and admission control, as a
  // baseline for comparisons.
  bool baseline = false;
  LogFormat log_format = LogFormat::kText;
  std::array<LogLevel, kLogCategoryCount> log_levels{};
  double trace_share = 0.0;
  std::string trace_path;
  std::uint32_t telemetry_ring_capacity = 0;
};

// All settings that a settings file or --set accepts.
const SettingsSchema& DaemonSchema();

DaemonConfig MakeDaemonConfig(const Settings& settings);

}  // namespace jujubecove
