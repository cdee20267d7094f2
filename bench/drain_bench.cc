// Searchers and one entry daemon leave under load: no new work to what leaves,
// and nothing under way is cut off.

#include <gflags/gflags.h>
#include <signal.h>

#include <atomic>
#include <optional>

#include "bench/report.h"
#include "bench/scenario.h"
#include "ctl/http_fetch.h"

DEFINE_uint64(seed, 1, "seed of arrivals and service times");

namespace jujubecove::bench {
namespace {

using std::chrono::milliseconds;

constexpr std::chrono::microseconds kServiceTime{5'000};
constexpr double kLoad = 0.3;
constexpr std::size_t kLeaver = 1;
constexpr double kLastRequestBoundMs = 2'000.0;

struct Outcome {
  std::vector<LoadSample> samples;
  std::optional<int> exit_code;
};

// Loads the cluster while searchers and then one daemon leave.
Outcome LoadThroughDrain(Cluster& cluster) {
  std::vector<std::uint16_t> ports = cluster.caller_ports();
  std::string leaver = "127.0.0.1:" + std::to_string(ports[kLeaver]);
  std::atomic<bool> leaver_ready = true;
  LoadOptions load;
  load.kinds = {Search("urgent-search", kLoad * CapacityOf(kServiceTime))};
  load.ports = ports;
  load.seed = FLAGS_seed;
  load.duration = milliseconds(9'000);
  // The balancer's view: it sends nothing to a daemon that says it isn't ready.
  load.target_is_live = [&leaver_ready](std::size_t target) {
    return target != kLeaver || leaver_ready;
  };
  Outcome outcome;
  DelayedAction searchers_leave(milliseconds(2'000), [&cluster] {
    cluster.ApplyFaults(R"({"replica":0,"draining":true})");
  });
  DelayedAction daemon_leaves(milliseconds(5'000), [&] {
    cluster.daemon(kLeaver).Signal(SIGTERM);
    while (Get(leaver, "/readyz").status == 200)
      std::this_thread::sleep_for(milliseconds(10));
    leaver_ready = false;
    outcome.exit_code = cluster.daemon(kLeaver).Wait(milliseconds(30'000));
  });
  outcome.samples = RunLoad(load);
  daemon_leaves.Join();
  return outcome;
}

int Run() {
  ClusterOptions options;
  options.services = {IndexService(kServiceTime)};
  options.document = IndexDocument(kServiceTime);
  options.daemons = 2;
  options.seed = FLAGS_seed;
  Cluster cluster(options);
  Outcome outcome = LoadThroughDrain(cluster);
  std::vector<LoadSample> cut =
      Filter(outcome.samples,
             [](const LoadSample& it) { return it.http_status == 0; });

  Report report("drain");
  report.AtMost("last_request_after_sign_ms",
                cluster.MaxOfStats("last_arrival_after_drain_us") / 1000.0,
                kLastRequestBoundMs);
  report.AtMost("cut_requests", static_cast<double>(cut.size()), 0.0);
  report.AtLeast("complete_share", ShareOf(outcome.samples, IsComplete), 0.999);
  report.AtMost("exit_code", outcome.exit_code.value_or(-1) == 0 ? 0.0 : 1.0,
                0.0);
  report.Info("requests", static_cast<double>(outcome.samples.size()));
  return report.exit_code();
}

}  // namespace
}  // namespace jujubecove::bench

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return jujubecove::bench::Run();
}
