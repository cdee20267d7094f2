#include <gflags/gflags.h>

#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

#include "front/front_settings.h"
#include "front/run_front.h"
#include "kernel/startup_signals.h"
#include "settings/overrides.h"

DEFINE_string(config,
              "",
              "INI file with the settings; defaults to the file that the "
              "environment variable JUJUBECOVE_CONFIG names");
DEFINE_string(check_settings,
              "",
              "validate this settings file, print every fault, and exit");
DEFINE_string(
    set,
    "",
    "overrides settings, section.key=value; may be repeated or separated by "
    "commas; an override without a value is ignored");
DEFINE_bool(describe, false, "print every setting with its default, and exit");

JUJUBECOVE_HOLD_RELOAD_SIGNAL();

int main(int argc, char** argv) {
  gflags::SetUsageMessage("the entry daemon of jujubecove on the platform");
  gflags::SetVersionString("0.2.0");
  std::vector<std::string> arguments(argv, argv + argc);
  std::vector<std::string> overrides = jujubecove::TakeOverrides(arguments);
  // The platform fills in an empty value where it has none.
  std::erase_if(overrides,
                [](const std::string& it) { return it.ends_with('='); });
  std::vector<char*> pointers;
  for (std::string& it : arguments)
    pointers.push_back(it.data());
  int count = static_cast<int>(pointers.size());
  char** first = pointers.data();
  gflags::ParseCommandLineFlags(&count, &first, true);
  if (FLAGS_describe) {
    std::cout << jujubecove::DescribeSchema(jujubecove::FrontSchema());
    return 0;
  }
  if (!FLAGS_check_settings.empty())
    return jujubecove::RunFront({FLAGS_check_settings, overrides}, true);
  const char* path = std::getenv("JUJUBECOVE_CONFIG");
  if (FLAGS_config.empty() && path == nullptr) {
    std::cerr << "jujubecove-front: no settings file; use --config or "
                 "JUJUBECOVE_CONFIG\n";
    return 2;
  }
  return jujubecove::RunFront(
      {FLAGS_config.empty() ? path : FLAGS_config, overrides}, false);
}
