#pragma once

#include <boost/json.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "tests/standin/child_process.h"
#include "tests/standin/searcher_fleet_server.h"

namespace jujubecove::bench {

std::uint16_t DefaultFirstPort();

struct ClusterOptions {
  // As for standin_searchers --services.
  std::vector<std::string> services;
  // The operators' document.
  std::string document;
  std::size_t daemons = 1;
  // Random replica, no hedges, no admission.
  bool baseline = false;
  std::size_t fleet_threads = 4;
  // First port used. The default depends on the process id, so that experiments
  // of several checkouts can run at once.
  std::uint16_t first_port = DefaultFirstPort();
  std::uint64_t seed = 1;
};

// Runs the stand-in of the platform and the entry daemons as child processes
// and the searchers in this process, all on the loopback address.
class Cluster {
 public:
  // Blocks until every daemon is ready; exits with a message if one does not
  // become ready.
  explicit Cluster(const ClusterOptions& options);
  ~Cluster();

  std::vector<std::uint16_t> caller_ports() const;
  standin::ChildProcess& daemon(std::size_t n) { return *daemons_[n]; }
  std::size_t daemon_count() const { return daemons_.size(); }
  // Restarts a killed daemon and waits until it is ready.
  void RestartDaemon(std::size_t n);
  void WaitUntilReady(std::size_t n);

  // Applies a fault row of standin_searchers to the searchers that it selects.
  void ApplyFaults(const std::string& row);
  // The body of GET /admin/stats of standin_searchers.
  boost::json::object SearcherStats();
  // Sum of a member over all searchers.
  double SumOfStat(const char* member);
  double MaxOfStat(const char* member);
  // A metric of one daemon, summed over its label sets; 0 if it is absent.
  double Metric(std::size_t n, const std::string& name);
  double TotalMetric(const std::string& name);

 private:
  std::uint16_t CallerPort(std::size_t n) const;
  std::string CallerAddress(std::size_t n) const;
  void WriteSettings(std::size_t n);
  void StartDaemon(std::size_t n);

  ClusterOptions options_;
  std::string directory_;
  std::unique_ptr<standin::SearcherFleetServer> fleet_;
  std::unique_ptr<standin::ChildProcess> platform_;
  std::vector<std::unique_ptr<standin::ChildProcess>> daemons_;
};

}  // namespace jujubecove::bench
