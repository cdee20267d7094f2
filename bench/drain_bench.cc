// Drains searchers and then one entry daemon under load: draining processes get
// no new requests, and no request in flight is lost.

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
constexpr double kLoadFactor = 0.3;
constexpr std::size_t kDrainedDaemon = 1;
constexpr double kMaxLastRequestMs = 2'000.0;

struct Outcome {
  std::vector<LoadSample> samples;
  std::optional<int> exit_code;
};

Outcome RunLoadDuringDrain(Cluster& cluster) {
  std::vector<std::uint16_t> ports = cluster.caller_ports();
  std::string drained_address =
      "127.0.0.1:" + std::to_string(ports[kDrainedDaemon]);
  std::atomic<bool> drained_ready = true;
  LoadOptions load;
  load.kinds = {
      SearchLoad("urgent-search", kLoadFactor * MaxQueryRate(kServiceTime))};
  load.ports = ports;
  load.seed = FLAGS_seed;
  load.duration = milliseconds(9'000);
  // Like a load balancer, sends no requests to a daemon that is not ready.
  load.target_is_live = [&drained_ready](std::size_t target) {
    return target != kDrainedDaemon || drained_ready;
  };
  Outcome outcome;
  DelayedAction drain_searchers(milliseconds(2'000), [&cluster] {
    cluster.ApplyFaults(R"({"replica":0,"draining":true})");
  });
  DelayedAction drain_daemon(milliseconds(5'000), [&] {
    cluster.daemon(kDrainedDaemon).Signal(SIGTERM);
    while (Get(drained_address, "/readyz").status == 200)
      std::this_thread::sleep_for(milliseconds(10));
    drained_ready = false;
    outcome.exit_code =
        cluster.daemon(kDrainedDaemon).Wait(milliseconds(30'000));
  });
  outcome.samples = RunLoad(load);
  drain_daemon.Join();
  return outcome;
}

int Run() {
  ClusterOptions options;
  options.services = {IndexService(kServiceTime)};
  options.document = IndexDocument(kServiceTime);
  options.daemons = 2;
  options.seed = FLAGS_seed;
  Cluster cluster(options);
  Outcome outcome = RunLoadDuringDrain(cluster);
  std::vector<LoadSample> cut =
      Filter(outcome.samples,
             [](const LoadSample& it) { return it.http_status == 0; });

  Report report("drain");
  report.AtMost("last_request_after_sign_ms",
                cluster.MaxOfStat("last_arrival_after_drain_us") / 1000.0,
                kMaxLastRequestMs);
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
