// All open connections of a third of the searchers stop responding for good,
// while new connections work.

#include <gflags/gflags.h>

#include <map>

#include "bench/report.h"
#include "bench/scenario.h"

DEFINE_uint64(seed, 1, "seed of arrivals and service times");

namespace jujubecove::bench {
namespace {

using std::chrono::milliseconds;

constexpr std::chrono::microseconds kServiceTime{5'000};
constexpr double kLoadFactor = 0.3;
constexpr milliseconds kSilenceAt{3'000};
constexpr milliseconds kRecoveryTime{1'000};

std::map<std::string, double> ArrivedAtFirstReplicas(Cluster& cluster) {
  std::map<std::string, double> arrived;
  boost::json::object stats = cluster.SearcherStats();
  for (const boost::json::value& row : stats.at("searchers").as_array()) {
    if (row.at("replica").to_number<int>() == 0)
      arrived[row.at("searcher").as_string().c_str()] =
          row.at("arrived").to_number<double>();
  }
  return arrived;
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

struct Outcome {
  std::vector<LoadSample> after;
  double recovered_share = 0.0;
};

Outcome Measure(Cluster& cluster) {
  LoadOptions load;
  load.kinds = {
      SearchLoad("urgent-search", kLoadFactor * MaxQueryRate(kServiceTime))};
  load.ports = cluster.caller_ports();
  load.seed = FLAGS_seed;
  load.duration = milliseconds(8'000);
  std::map<std::string, double> at_silence;
  std::map<std::string, double> after_recovery;
  std::vector<LoadSample> samples;
  {
    DelayedAction silence(kSilenceAt, [&cluster, &at_silence] {
      cluster.ApplyFaults(R"({"replica":0,"silence":true})");
      at_silence = ArrivedAtFirstReplicas(cluster);
    });
    DelayedAction recount(kSilenceAt + kRecoveryTime,
                          [&cluster, &after_recovery] {
                            after_recovery = ArrivedAtFirstReplicas(cluster);
                          });
    samples = RunLoad(load);
  }
  double recovered = 0.0;
  for (const auto& [searcher, arrived] : at_silence)
    recovered += after_recovery[searcher] > arrived ? 1.0 : 0.0;
  return Outcome{DueBetween(samples, kSilenceAt, load.duration),
                 recovered / static_cast<double>(at_silence.size())};
}

double MeanCoverage(const std::vector<LoadSample>& samples) {
  double sum = 0.0;
  for (const LoadSample& it : samples)
    sum += it.covered_share;
  return sum / static_cast<double>(samples.size());
}

int Run() {
  Outcome outcome;
  {
    Cluster cluster(Options(false));
    outcome = Measure(cluster);
  }
  Cluster baseline_cluster(Options(true));
  Outcome baseline = Measure(baseline_cluster);

  Report report("silence");
  report.AtMost("late_share",
                ShareOf(outcome.after,
                        [](const LoadSample& it) {
                          return it.latency > milliseconds(250);
                        }),
                0.0);
  report.AtLeast("searchers_back_within_1s", outcome.recovered_share, 1.0);
  report.AtLeast("covered", MeanCoverage(outcome.after), 0.99);
  report.Info("covered_baseline", MeanCoverage(baseline.after));
  report.Info("p99_ms", QuantileMs(outcome.after, 0.99));
  report.Info("p99_baseline_ms", QuantileMs(baseline.after, 0.99));
  return report.exit_code();
}

}  // namespace
}  // namespace jujubecove::bench

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return jujubecove::bench::Run();
}
