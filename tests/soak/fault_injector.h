#pragma once

#include "base/random.h"
#include "tests/soak/soak_cluster.h"

namespace jujubecove::soak {

// Injects random faults at random times; they may overlap. The same seed gives
// the same faults at the same times.
class FaultInjector {
 public:
  FaultInjector(SoakCluster& cluster, std::uint64_t seed)
      : cluster_(cluster), random_(seed) {}

  // Runs the cluster for this time while injecting faults.
  void RunFor(Duration time);

 private:
  std::size_t RandomDaemon() { return random_() % cluster_.daemon_count(); }
  std::size_t RandomSearcher() { return random_() % cluster_.searcher_count(); }
  Duration RandomDuration(int low_ms, int high_ms);
  void InjectRandomFault();
  void InjectDaemonFault();
  void InjectStoreFault();
  void InjectSearcherFault();
  // Delays, blocks, silences or resets the connections of a proxy.
  void InjectNetworkFault(FaultProxy& proxy,
                          std::uint64_t fault,
                          Duration time,
                          const std::string& name);

  SoakCluster& cluster_;
  RandomEngine random_;
};

}  // namespace jujubecove::soak
