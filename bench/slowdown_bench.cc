// All searchers become five times slower at once: retries and hedges must not
// add much load to them.

#include <gflags/gflags.h>

#include "bench/report.h"
#include "bench/scenario.h"

DEFINE_uint64(seed, 1, "seed of arrivals and service times");

namespace jujubecove::bench {
namespace {

using std::chrono::milliseconds;

constexpr std::chrono::microseconds kServiceTime{5'000};
constexpr double kLoadFactor = 0.12;
constexpr double kMaxExtraShare = 0.02;

int Run() {
  ClusterOptions options;
  options.services = {IndexService(kServiceTime)};
  options.document = IndexDocument(kServiceTime);
  options.daemons = 2;
  options.seed = FLAGS_seed;
  Cluster cluster(options);
  LoadOptions load;
  load.kinds = {
      SearchLoad("urgent-search", kLoadFactor * MaxQueryRate(kServiceTime))};
  load.ports = cluster.caller_ports();
  load.seed = FLAGS_seed;
  load.duration = milliseconds(4'000);
  std::vector<LoadSample> before = RunLoad(load);

  cluster.ApplyFaults(R"({"slow":5})");
  load.duration = milliseconds(8'000);
  double first = cluster.TotalMetric("jujubecove_attempts_first_total");
  double extra = cluster.TotalMetric("jujubecove_attempts_repeat_total");
  std::vector<LoadSample> samples = RunLoad(load);
  first = cluster.TotalMetric("jujubecove_attempts_first_total") - first;
  extra = cluster.TotalMetric("jujubecove_attempts_repeat_total") - extra;

  Report report("slowdown");
  report.Info("p99_before_ms", QuantileMs(before, 0.99));
  report.Info("p99_slow_ms", QuantileMs(samples, 0.99));
  report.Info("complete_share", ShareOf(samples, IsComplete));
  report.AtLeast("first_attempts", first, 1.0);
  report.AtMost("repeat_share", extra / first, kMaxExtraShare);
  return report.exit_code();
}

}  // namespace
}  // namespace jujubecove::bench

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return jujubecove::bench::Run();
}
