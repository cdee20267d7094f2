// Time from the activation of a version until it is in force at every daemon,
// and of a whole change as the operator sees it, on the fake clock, with a
// store that takes 100 ms and loses every tenth reply.

#include <gflags/gflags.h>

#include <algorithm>
#include <iostream>
#include <string>
#include <vector>

#include "base/units.h"
#include "bench/report.h"
#include "tests/standin/config_fleet.h"

DEFINE_uint64(seed, 1, "first seed");
DEFINE_uint64(runs, 10, "fleets of each size");
DEFINE_uint64(changes, 20, "changes in each fleet");

namespace jujubecove::bench {
namespace {

constexpr double kBoundMs = 6'000.0;
constexpr double kTargetMs = 1'000.0;

struct Times {
  // From the compare-and-swap to the last daemon.
  std::vector<double> everywhere_ms;
  // From the operator's command to the report.
  std::vector<double> apply_ms;
  std::size_t not_everywhere = 0;
};

double Quantile(std::vector<double> values, double q) {
  if (values.empty())
    return 0.0;
  std::sort(values.begin(), values.end());
  std::size_t n =
      static_cast<std::size_t>(q * static_cast<double>(values.size()));
  return values[std::min(n, values.size() - 1)];
}

void Change(ConfigFleet& fleet, int deadline_ms, Times& times) {
  TimePoint activated;
  std::uint64_t listener =
      fleet.model().AddListener([&](const std::string& key) {
        if (key == kActiveKey)
          activated = fleet.timers().Now();
      });
  ConfigFleet::Operator tool(fleet);
  TimePoint started = fleet.timers().Now();
  tool.Apply(SampleDocument(20, deadline_ms));
  constexpr Duration kLimit(120'000'000);
  TimePoint in_force;
  ConfigVersion before = fleet.node(0).agent().active_version();
  for (std::size_t slot = 0; slot < fleet.size(); ++slot)
    before = std::max(before, fleet.node(slot).agent().active_version());
  ConfigVersion next(before.value() + 1);
  fleet.RunUntil(
      [&] {
        if (in_force == TimePoint() && fleet.AllAt(next))
          in_force = fleet.timers().Now();
        return !tool.reports.empty() && in_force != TimePoint();
      },
      kLimit);
  fleet.model().RemoveListener(listener);
  bool ok = !tool.reports.empty() && tool.reports[0].everywhere &&
            in_force != TimePoint();
  times.not_everywhere += ok ? 0 : 1;
  if (!ok)
    return;
  times.everywhere_ms.push_back(ToMilliseconds(in_force - activated));
  times.apply_ms.push_back(ToMilliseconds(fleet.timers().Now() - started));
}

void Measure(std::size_t daemons, std::size_t zones, Report& report) {
  Times times;
  for (std::uint64_t run = 0; run < FLAGS_runs; ++run) {
    ConfigFleet fleet(FLAGS_seed + run, zones, daemons);
    fleet.model().SetFaults(
        StoreFaults{.latency = Duration(100'000), .lost_replies = 0.1});
    constexpr Duration kSettle(5'000'000);
    fleet.Run(kSettle);
    for (std::uint64_t n = 0; n < FLAGS_changes; ++n)
      Change(fleet, 100 + static_cast<int>(n), times);
  }
  std::string prefix = "daemons" + std::to_string(daemons) + "_";
  report.Info(prefix + "changes",
              static_cast<double>(times.everywhere_ms.size()));
  report.AtMost(prefix + "not_everywhere",
                static_cast<double>(times.not_everywhere), 0.0);
  report.Info(prefix + "everywhere_p50_ms", Quantile(times.everywhere_ms, 0.5));
  report.AtMost(prefix + "everywhere_p99_ms",
                Quantile(times.everywhere_ms, 0.99), kTargetMs);
  report.Info(prefix + "apply_p50_ms", Quantile(times.apply_ms, 0.5));
  report.AtMost(prefix + "apply_p99_ms", Quantile(times.apply_ms, 0.99),
                kBoundMs);
}

int Run() {
  Report report("config-spread");
  Measure(4, 3, report);
  Measure(16, 4, report);
  Measure(64, 8, report);
  return report.exit_code();
}

}  // namespace
}  // namespace jujubecove::bench

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return jujubecove::bench::Run();
}
