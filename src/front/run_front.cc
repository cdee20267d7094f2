#include "front/run_front.h"

#include <csignal>
#include <iostream>

#include "front/front_daemon.h"
#include "kernel/startup_signals.h"

namespace jujubecove {
namespace {

constexpr int kExitStartFailed = 1;
constexpr int kExitBadSettings = 2;

}  // namespace

int RunFront(const SettingsSource& source, bool check_only) {
  std::vector<SettingFault> faults;
  FrontConfig config = LoadFrontConfig(source, faults);
  for (const SettingFault& it : faults)
    std::cerr << it.ToString() << "\n";
  if (!faults.empty())
    return kExitBadSettings;
  if (check_only) {
    std::cout << "the settings are valid\n";
    return 0;
  }
  // Writing to a connection that the peer has closed then returns an error.
  std::signal(SIGPIPE, SIG_IGN);
  FrontDaemon daemon(config, source);
  ReleaseReloadSignal();
  Result<void> started = daemon.Start();
  if (!started) {
    std::cerr << "jujubecove-front: " << started.error().detail << "\n";
    return kExitStartFailed;
  }
  return daemon.Run();
}

}  // namespace jujubecove
