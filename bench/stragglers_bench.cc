// Tail latency and extra load with one of three replicas of each shard 20 times
// slower, compared with a run without stragglers and with the baseline.

#include <gflags/gflags.h>

#include "bench/report.h"
#include "bench/scenario.h"

DEFINE_uint64(seed, 1, "seed of arrivals and service times");

namespace jujubecove::bench {
namespace {

using std::chrono::milliseconds;

constexpr std::chrono::microseconds kServiceTime{5'000};
constexpr double kLoadFactor = 0.2;
constexpr double kMaxP99Ratio = 1.3;
constexpr double kMaxExtraShare = 0.05;

struct Outcome {
  double p99_ms = 0.0;
  double extra_share = 0.0;
  double complete_share = 0.0;
};

// The run without stragglers must come first, so that the daemons have latency
// estimates. Measurement starts after the policies have had time to react.
Outcome Measure(Cluster& cluster, bool stragglers) {
  if (stragglers)
    cluster.ApplyFaults(R"({"replica":0,"slow":20})");
  LoadOptions load;
  load.kinds = {
      SearchLoad("urgent-search", kLoadFactor * MaxQueryRate(kServiceTime))};
  load.ports = cluster.caller_ports();
  load.seed = FLAGS_seed;
  load.duration = milliseconds(3'000);
  RunLoad(load);
  load.duration = milliseconds(8'000);
  double sent = cluster.SumOfStat("arrived");
  std::vector<LoadSample> samples = RunLoad(load);
  sent = cluster.SumOfStat("arrived") - sent;
  double first_attempts = static_cast<double>(samples.size()) * kShards;
  return Outcome{QuantileMs(samples, 0.99), sent / first_attempts - 1.0,
                 ShareOf(samples, IsComplete)};
}

ClusterOptions Options(bool baseline) {
  ClusterOptions options;
  options.services = {IndexService(kServiceTime)};
  options.document = IndexDocument(kServiceTime);
  options.daemons = 2;
  options.baseline = baseline;
  options.seed = FLAGS_seed;
  return options;
}

int Run() {
  Outcome clean;
  Outcome slow;
  {
    Cluster cluster(Options(false));
    clean = Measure(cluster, false);
    slow = Measure(cluster, true);
  }
  Cluster baseline_cluster(Options(true));
  Outcome baseline = Measure(baseline_cluster, true);

  Report report("stragglers");
  report.Info("p99_without_ms", clean.p99_ms);
  report.Info("p99_with_ms", slow.p99_ms);
  report.Info("p99_baseline_ms", baseline.p99_ms);
  report.AtMost("p99_ratio", slow.p99_ms / clean.p99_ms, kMaxP99Ratio);
  report.AtMost("extra_share", slow.extra_share, kMaxExtraShare);
  report.Info("complete_share", slow.complete_share);
  report.Info("complete_share_baseline", baseline.complete_share);
  return report.exit_code();
}

}  // namespace
}  // namespace jujubecove::bench

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return jujubecove::bench::Run();
}
