// Load of three times the capacity of the searchers, a fifth of it urgent:
// urgent queries are answered in time and goodput stays near its maximum.

#include <gflags/gflags.h>

#include <algorithm>

#include "bench/report.h"
#include "bench/scenario.h"

DEFINE_uint64(seed, 1, "seed of arrivals and service times");

namespace jujubecove::bench {
namespace {

using std::chrono::milliseconds;

constexpr std::chrono::microseconds kServiceTime{10'000};
constexpr double kUrgentShare = 0.2;
constexpr double kOverloadFactor = 3.0;
constexpr milliseconds kDuration{6'000};

std::vector<LoadSample> Measure(Cluster& cluster, double load_factor) {
  double rate = load_factor * MaxQueryRate(kServiceTime);
  LoadOptions load;
  load.kinds = {SearchLoad("urgent-search", kUrgentShare * rate),
                SearchLoad("bulk-search", (1.0 - kUrgentShare) * rate)};
  load.ports = cluster.caller_ports();
  load.seed = FLAGS_seed;
  load.duration = milliseconds(2'000);
  RunLoad(load);
  load.duration = kDuration;
  return RunLoad(load);
}

double Goodput(const std::vector<LoadSample>& samples) {
  return ShareOf(samples, IsComplete) * static_cast<double>(samples.size()) *
         1000.0 / static_cast<double>(kDuration.count());
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

std::vector<LoadSample> Urgent(const std::vector<LoadSample>& samples) {
  return Filter(samples, [](const LoadSample& it) { return it.kind == 0; });
}

int Run() {
  double best_goodput = 0.0;
  std::vector<LoadSample> samples;
  {
    Cluster cluster(Options(false));
    for (double load_factor : {0.6, 0.75, 0.9})
      best_goodput =
          std::max(best_goodput, Goodput(Measure(cluster, load_factor)));
    samples = Measure(cluster, kOverloadFactor);
  }
  Cluster baseline_cluster(Options(true));
  std::vector<LoadSample> baseline = Measure(baseline_cluster, kOverloadFactor);

  std::vector<LoadSample> urgent = Urgent(samples);
  Report report("overload");
  report.Info("goodput_best_per_s", best_goodput);
  report.Info("goodput_per_s", Goodput(samples));
  report.Info("goodput_baseline_per_s", Goodput(baseline));
  report.AtLeast("urgent_answered_share", ShareOf(urgent, IsComplete), 0.999);
  report.Info("urgent_answered_share_baseline",
              ShareOf(Urgent(baseline), IsComplete));
  report.AtMost("urgent_p99_ms", QuantileMs(urgent, 0.99), 250.0);
  report.AtLeast("goodput_ratio", Goodput(samples) / best_goodput, 0.9);
  return report.exit_code();
}

}  // namespace
}  // namespace jujubecove::bench

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return jujubecove::bench::Run();
}
