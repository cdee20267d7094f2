#include <gflags/gflags.h>

#include <cstdlib>
#include <iostream>

#include "front/front_settings.h"
#include "front/run_front.h"

DEFINE_string(config,
              "",
              "INI file with the settings; defaults to the file that the "
              "environment variable JUJUBECOVE_CONFIG names");
DEFINE_string(check_settings,
              "",
              "validate this settings file, print every fault, and exit");
DEFINE_bool(describe, false, "print every setting with its default, and exit");

int main(int argc, char** argv) {
  gflags::SetUsageMessage("the entry daemon of jujubecove on the platform");
  gflags::SetVersionString("0.2.0");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  if (FLAGS_describe) {
    std::cout << jujubecove::DescribeSchema(jujubecove::FrontSchema());
    return 0;
  }
  if (!FLAGS_check_settings.empty())
    return jujubecove::RunFront(FLAGS_check_settings, true);
  const char* path = std::getenv("JUJUBECOVE_CONFIG");
  if (FLAGS_config.empty() && path == nullptr) {
    std::cerr << "jujubecove-front: no settings file; use --config or "
                 "JUJUBECOVE_CONFIG\n";
    return 2;
  }
  return jujubecove::RunFront(FLAGS_config.empty() ? path : FLAGS_config,
                              false);
}
