// CPU time of the daemon per upstream request, and the latency that it adds to
// that of the slowest searcher, with 110 searchers per query.

#include <gflags/gflags.h>

#include "bench/report.h"
#include "bench/scenario.h"

DEFINE_uint64(seed, 1, "seed of arrivals and service times");
DEFINE_double(rate, 150, "queries a second");

namespace jujubecove::bench {
namespace {

using std::chrono::milliseconds;

constexpr unsigned kSearchers = 110;
constexpr std::chrono::microseconds kServiceTime{3'000};
// Design load of a node: 93,500 upstream requests/s on 2 cores.
constexpr double kMaxCpuUs = 20.0;
constexpr double kMaxAddedMs = 2.0;

int Run() {
  ClusterOptions options;
  // One replica and a constant service time, so any latency above it is added
  // between caller and searcher.
  options.services = {"index:110:1:64:25:1000:3000:110:0"};
  options.document = IndexDocument(kServiceTime, kSearchers, 1, 64);
  options.seed = FLAGS_seed;
  Cluster cluster(options);
  LoadOptions load;
  load.kinds = {SearchLoad("urgent-search", FLAGS_rate)};
  load.ports = cluster.caller_ports();
  load.seed = FLAGS_seed;
  load.duration = milliseconds(2'000);
  RunLoad(load);

  load.duration = milliseconds(5'000);
  std::chrono::microseconds cpu_before = cluster.daemon(0).CpuTime();
  double sent_before = cluster.SumOfStat("arrived");
  std::vector<LoadSample> samples = RunLoad(load);
  double cpu_us =
      static_cast<double>((cluster.daemon(0).CpuTime() - cpu_before).count());
  double sent = cluster.SumOfStat("arrived") - sent_before;

  Report report("path");
  report.Info("queries", static_cast<double>(samples.size()));
  report.PrintStatusCounts(samples);
  report.AtLeast("complete_share", ShareOf(samples, IsComplete), 0.999);
  report.Info("upstream_requests", sent);
  report.AtMost("cpu_us_per_upstream_request", cpu_us / sent, kMaxCpuUs);
  double service_ms = static_cast<double>(kServiceTime.count()) / 1000.0;
  report.Info("added_p50_ms", QuantileMs(samples, 0.5) - service_ms);
  report.AtMost("added_p99_ms", QuantileMs(samples, 0.99) - service_ms,
                kMaxAddedMs);
  report.Info("resident_mb",
              static_cast<double>(cluster.daemon(0).ResidentBytes()) / 1e6);
  return report.exit_code();
}

}  // namespace
}  // namespace jujubecove::bench

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return jujubecove::bench::Run();
}
