// Sends records with lost replies and forwards, with copies through two daemons
// concurrently and later, and with daemons that are killed, replaced and
// paused. The baseline retries without tickets. Runs on a fake clock, so the
// result depends only on the seed.
#include <gflags/gflags.h>

#include <cstddef>
#include <string>

#include "bench/report.h"
#include "tests/standin/at_most_once_simulation.h"

DEFINE_uint64(seed, 1, "Seed of the run.");
DEFINE_uint64(records, 100'000, "Records of the run.");

namespace jujubecove {
namespace {

using standin::AtMostOnceOptions;
using standin::AtMostOnceResult;

double ToDouble(std::size_t value) {
  return static_cast<double>(value);
}

double ShareOf(std::size_t part, std::size_t whole) {
  return whole == 0 ? 0.0 : ToDouble(part) / ToDouble(whole);
}

void PrintCounts(bench::Report& report,
                 const std::string& prefix,
                 const AtMostOnceResult& result) {
  report.Info(prefix + "unknown_share",
              ShareOf(result.unknown, result.records));
  report.Info(prefix + "not_run_share",
              ShareOf(result.known_not_run, result.records));
  report.Info(prefix + "records", ToDouble(result.records));
  report.Info(prefix + "copies", ToDouble(result.copies));
  report.Info(prefix + "effects", ToDouble(result.effects));
  report.Info(prefix + "kills", ToDouble(result.kills));
  report.Info(prefix + "pauses", ToDouble(result.pauses));
}

}  // namespace
}  // namespace jujubecove

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  jujubecove::AtMostOnceOptions options;
  options.seed = FLAGS_seed;
  options.records = FLAGS_records;
  jujubecove::AtMostOnceResult result =
      jujubecove::standin::SimulateAtMostOnce(options);
  jujubecove::bench::Report report("at-most-once");
  report.AtMost("second_effects", jujubecove::ToDouble(result.second_effects),
                0);
  report.AtMost("false_not_run", jujubecove::ToDouble(result.false_not_run), 0);
  report.AtMost("false_ran", jujubecove::ToDouble(result.false_ran), 0);
  jujubecove::PrintCounts(report, "", result);
  options.tickets = false;
  result = jujubecove::standin::SimulateAtMostOnce(options);
  report.Info("baseline_second_effects",
              jujubecove::ToDouble(result.second_effects));
  report.Info("baseline_false_not_run",
              jujubecove::ToDouble(result.false_not_run));
  jujubecove::PrintCounts(report, "baseline_", result);
  return report.exit_code();
}
