// Records with lost replies and forwards, repeats through two daemons at the
// same moment and later, and daemons that are killed, replaced and paused. The
// baseline is a plain tier that retries and knows no tickets. It runs on a fake
// clock, so the result depends on nothing but the seed.
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

double Number(std::size_t value) {
  return static_cast<double>(value);
}

double ShareOf(std::size_t part, std::size_t whole) {
  return whole == 0 ? 0.0 : Number(part) / Number(whole);
}

void PrintCommon(bench::Report& report,
                 const std::string& prefix,
                 const AtMostOnceResult& result) {
  report.Info(prefix + "unknown_share",
              ShareOf(result.unknown, result.records));
  report.Info(prefix + "not_run_share",
              ShareOf(result.known_not_run, result.records));
  report.Info(prefix + "records", Number(result.records));
  report.Info(prefix + "copies", Number(result.copies));
  report.Info(prefix + "effects", Number(result.effects));
  report.Info(prefix + "kills", Number(result.kills));
  report.Info(prefix + "pauses", Number(result.pauses));
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
  report.AtMost("second_effects", jujubecove::Number(result.second_effects), 0);
  report.AtMost("false_not_run", jujubecove::Number(result.false_not_run), 0);
  report.AtMost("false_ran", jujubecove::Number(result.false_ran), 0);
  jujubecove::PrintCommon(report, "", result);
  options.tickets = false;
  result = jujubecove::standin::SimulateAtMostOnce(options);
  report.Info("baseline_second_effects",
              jujubecove::Number(result.second_effects));
  report.Info("baseline_false_not_run",
              jujubecove::Number(result.false_not_run));
  jujubecove::PrintCommon(report, "baseline_", result);
  return report.exit_code();
}
