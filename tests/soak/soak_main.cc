#include <gflags/gflags.h>

#include <filesystem>
#include <iostream>

#include "tests/soak/fault_injector.h"

DEFINE_string(program, "", "path of the daemon executable");
DEFINE_string(directory, "", "directory for the daemons' settings and logs");
DEFINE_uint64(seed, 1, "seed of the faults and their times");
DEFINE_int32(seconds, 15, "seconds during which faults are injected");
DEFINE_int32(daemons, 3, "number of daemons");

namespace jujubecove::soak {
namespace {

using std::chrono::seconds;

// Time for the cluster to recover after the last injection: covers the longest
// fault, and the expiry and removal of a dead searcher's registration.
constexpr Duration kRecoveryTime = seconds(8);
constexpr Duration kMeasuredTime = seconds(3);
constexpr double kMinSuccessShare = 0.95;

int RunSoak() {
  std::filesystem::create_directories(FLAGS_directory);
  SoakOptions options;
  options.program = FLAGS_program;
  options.directory = FLAGS_directory;
  options.seed = FLAGS_seed;
  options.daemons = FLAGS_daemons;
  SoakCluster cluster(options);
  if (!cluster.Start()) {
    std::cout << "the daemons did not become ready\n";
    return 1;
  }
  FaultInjector(cluster, FLAGS_seed).RunFor(seconds(FLAGS_seconds));
  cluster.RunFor(kRecoveryTime);
  InvariantChecker& checker = cluster.checker();
  checker.StartCounting();
  cluster.RunFor(kMeasuredTime);
  double share = checker.finished_count() == 0
                     ? 0.0
                     : static_cast<double>(checker.success_count()) /
                           checker.finished_count();
  bool stopped_cleanly = cluster.Stop();
  for (const std::string& it : checker.violations())
    std::cout << "violation: " << it << "\n";
  std::cout << "soak seed=" << FLAGS_seed
            << " requests=" << checker.request_count()
            << " violations=" << checker.violations().size()
            << " served_after_recovery=" << share << "\n";
  bool recovered = share >= kMinSuccessShare;
  return checker.violations().empty() && recovered && stopped_cleanly ? 0 : 1;
}

}  // namespace
}  // namespace jujubecove::soak

int main(int argc, char** argv) {
  gflags::SetUsageMessage("injects random faults around real daemon processes");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return jujubecove::soak::RunSoak();
}
