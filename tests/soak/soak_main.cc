#include <gflags/gflags.h>

#include <filesystem>
#include <iostream>

#include "tests/soak/fault_schedule.h"

DEFINE_string(program, "", "the daemon's program");
DEFINE_string(directory, "", "where settings and logs of the daemons go");
DEFINE_uint64(seed, 1, "decides the faults and their times");
DEFINE_int32(seconds, 15, "how long faults are injected");
DEFINE_int32(daemons, 3, "number of daemons");

namespace jujubecove::soak {
namespace {

using std::chrono::seconds;

// Time after the last fault until nearly everything is answered again: the
// longest fault, a registration that outlives its searcher, and its removal.
constexpr Duration kRecovery = seconds(8);
constexpr Duration kCounted = seconds(3);
constexpr double kLeastServed = 0.95;

int RunSoak() {
  std::filesystem::create_directories(FLAGS_directory);
  SoakOptions options;
  options.program = FLAGS_program;
  options.directory = FLAGS_directory;
  options.seed = FLAGS_seed;
  options.daemons = FLAGS_daemons;
  SoakWorld world(options);
  if (!world.Start()) {
    std::cout << "the daemons did not become ready\n";
    return 1;
  }
  FaultSchedule(world, FLAGS_seed).RunFor(seconds(FLAGS_seconds));
  world.RunFor(kRecovery);
  PromiseLedger& ledger = world.ledger();
  ledger.StartCounting();
  world.RunFor(kCounted);
  double share = ledger.asked() == 0
                     ? 0.0
                     : static_cast<double>(ledger.served()) / ledger.asked();
  bool ended_well = world.Stop();
  for (const std::string& it : ledger.violations())
    std::cout << "violation: " << it << "\n";
  std::cout << "soak seed=" << FLAGS_seed << " requests=" << ledger.total()
            << " violations=" << ledger.violations().size()
            << " served_after_recovery=" << share << "\n";
  bool recovered = share >= kLeastServed;
  return ledger.violations().empty() && recovered && ended_well ? 0 : 1;
}

}  // namespace
}  // namespace jujubecove::soak

int main(int argc, char** argv) {
  gflags::SetUsageMessage("randomized faults around real daemons");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return jujubecove::soak::RunSoak();
}
