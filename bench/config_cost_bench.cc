// What the configuration and the membership cost each daemon and the platform's
// store, on the fake clock: 64 daemons in 8 zones and a document of a megabyte.

#include <gflags/gflags.h>
#include <unistd.h>

#include <algorithm>
#include <ctime>
#include <fstream>
#include <string>
#include <vector>

#include "base/units.h"
#include "bench/report.h"
#include "tests/standin/config_fleet.h"

DEFINE_uint64(seed, 1, "seed");
DEFINE_uint64(kinds, 5'300, "kinds of the document");
DEFINE_uint64(changes, 5, "changes that are measured");

namespace jujubecove::bench {
namespace {

constexpr std::size_t kDaemons = 64;
constexpr std::size_t kZones = 8;
// The design size: 4 regions with 8 zones, a change every 6.2 s, a restart
// every 3.2 s.
constexpr double kDesignZones = 32.0;
constexpr double kChangeIntervalSeconds = 6.2;
constexpr Duration kChangeInterval(6'200'000);
constexpr double kChangeBoundBytes = 18'000.0;
constexpr double kIdleBoundBytes = 3'000.0;
constexpr double kReadsBound = 2'000.0;
constexpr double kWritesBound = 300.0;
constexpr double kCpuBound = 0.038;
constexpr double kMemoryBoundMb = 64.0;

std::vector<std::uint64_t> Received(ConfigFleet& fleet) {
  std::vector<std::uint64_t> bytes;
  for (std::size_t slot = 0; slot < fleet.size(); ++slot)
    bytes.push_back(fleet.network().received_bytes(fleet.node(slot).address()) +
                    fleet.node(slot).store().received_bytes());
  return bytes;
}

double LargestIncrease(const std::vector<std::uint64_t>& before,
                       const std::vector<std::uint64_t>& after) {
  std::uint64_t most = 0;
  for (std::size_t n = 0; n < before.size(); ++n)
    most = std::max(most, after[n] - before[n]);
  return static_cast<double>(most);
}

struct Calls {
  explicit Calls(const StoreModel& model)
      : reads(static_cast<double>(model.count(StoreCall::kRead) +
                                  model.count(StoreCall::kWatch))),
        writes(static_cast<double>(model.count(StoreCall::kWrite))) {}
  double reads;
  double writes;
};

double CpuSeconds() {
  return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

double ResidentMb() {
  std::ifstream file("/proc/self/statm");
  double total = 0.0;
  double resident = 0.0;
  file >> total >> resident;
  return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
}

// Prints the cost of a minute in which nothing changes.
void MeasureIdle(ConfigFleet& fleet, Report& report) {
  constexpr double kSeconds = 60.0;
  std::vector<std::uint64_t> before = Received(fleet);
  Calls calls(fleet.model());
  double cpu = CpuSeconds();
  fleet.Run(Duration(60'000'000));
  cpu = CpuSeconds() - cpu;
  Calls after(fleet.model());
  report.AtMost("idle_bytes_per_second",
                LargestIncrease(before, Received(fleet)) / kSeconds,
                kIdleBoundBytes);
  // Includes the cost of the simulation itself.
  report.AtMost("idle_cpu_share", cpu / kSeconds / kDaemons, kCpuBound);
  after.reads = (after.reads - calls.reads) / kSeconds;
  after.writes = (after.writes - calls.writes) / kSeconds;
  report.Info("idle_store_reads_per_minute", after.reads * 60.0);
  report.Info("idle_store_writes_per_minute", after.writes * 60.0);
}

// Prints the cost of one-kind edits, each with the 6.2 s that follow it.
Calls MeasureChanges(ConfigFleet& fleet, Report& report) {
  double most = 0.0;
  double sum = 0.0;
  Calls calls(fleet.model());
  double failed = 0.0;
  double count = static_cast<double>(FLAGS_changes);
  double cpu = CpuSeconds();
  TimePoint started = fleet.timers().Now();
  for (std::uint64_t n = 0; n < FLAGS_changes; ++n) {
    std::vector<std::uint64_t> before = Received(fleet);
    ConfigFleet::Operator tool(fleet);
    tool.Apply(SampleDocument(FLAGS_kinds, 300 + static_cast<int>(n)));
    fleet.Run(kChangeInterval);
    std::vector<std::uint64_t> after = Received(fleet);
    most = std::max(most, LargestIncrease(before, after));
    for (std::size_t slot = 0; slot < fleet.size(); ++slot)
      sum += static_cast<double>(after[slot] - before[slot]);
    failed += !tool.reports.empty() && tool.reports[0].everywhere ? 0.0 : 1.0;
  }
  cpu = CpuSeconds() - cpu;
  Calls after(fleet.model());
  double seconds = ToMilliseconds(fleet.timers().Now() - started) / 1'000.0;
  report.AtMost("changes_not_everywhere", failed, 0.0);
  report.Info("change_bytes_mean", sum / count / kDaemons);
  report.AtMost("change_bytes_per_daemon", most, kChangeBoundBytes);
  // Includes the cost of the simulation and of the operator's tool.
  report.AtMost("change_cpu_share", cpu / seconds / kDaemons, kCpuBound);
  after.reads = (after.reads - calls.reads) / count;
  after.writes = (after.writes - calls.writes) / count;
  report.Info("store_reads_per_change", after.reads);
  report.Info("store_writes_per_change", after.writes);
  return after;
}

int Run() {
  Report report("config-cost");
  ConfigFleet fleet(FLAGS_seed, kZones, kDaemons);
  fleet.network().SetCounting(true);
  fleet.Run(Duration(5'000'000));
  std::string text = SampleDocument(FLAGS_kinds, 299);
  report.Info("document_bytes", static_cast<double>(text.size()));
  ApplyReport first = fleet.Apply(text);
  report.AtLeast("first_document_everywhere", first.everywhere ? 1.0 : 0.0,
                 1.0);
  fleet.Run(Duration(10'000'000));
  MeasureIdle(fleet, report);
  Calls change = MeasureChanges(fleet, report);
  report.AtMost("resident_mb_per_daemon", ResidentMb() / kDaemons,
                kMemoryBoundMb);
  // Calls within a change interval grow with the zones, not with the daemons.
  double scale = kDesignZones / kZones / kChangeIntervalSeconds;
  report.AtMost("design_store_reads_per_second", change.reads * scale,
                kReadsBound);
  report.AtMost("design_store_writes_per_second", change.writes * scale,
                kWritesBound);
  return report.exit_code();
}

}  // namespace
}  // namespace jujubecove::bench

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return jujubecove::bench::Run();
}
