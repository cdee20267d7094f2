#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "kernel/asio_timer_service.h"
#include "tests/soak/fault_proxy.h"
#include "tests/soak/invariant_checker.h"
#include "tests/soak/soak_caller.h"
#include "tests/standin/child_process.h"
#include "tests/standin/kv_server.h"
#include "tests/standin/platform_searcher.h"

namespace jujubecove::soak {

struct SoakOptions {
  // Path of the daemon executable.
  std::string program;
  // Directory of the daemons' settings and logs.
  std::string directory;
  std::uint64_t seed = 1;
  int daemons = 3;
  // For each daemon.
  int callers = 6;
};

// Runs real daemon processes against a store, searchers, callers and network
// proxies that live in this process, and injects faults.
class SoakCluster {
 public:
  explicit SoakCluster(const SoakOptions& options);
  ~SoakCluster();

  // Returns false when the daemons do not become ready.
  bool Start();
  void RunFor(Duration time);

  // Faults. Those with a duration end by themselves.
  void TerminateDaemon(std::size_t daemon);
  void KillDaemon(std::size_t daemon);
  void PauseDaemon(std::size_t daemon, Duration time);
  void ReloadDaemon(std::size_t daemon);
  // Records a fault of the daemon that ends after this time. The checker
  // exempts the daemon from time bounds until then and for a while after.
  void RecordFault(std::size_t daemon, Duration time);
  // The proxies between a daemon and the store, and in front of a searcher.
  FaultProxy& StoreProxy(std::size_t daemon) {
    return *daemons_[daemon].store_proxy;
  }
  FaultProxy& SearcherProxy(std::size_t searcher) {
    return *searchers_[searcher].proxy;
  }
  void HealAfter(FaultProxy& proxy, Duration time);
  void StopStore(Duration time);
  void CompactStore();
  void RefuseRequests(std::size_t searcher, Duration time);
  void LoseReplies(std::size_t searcher, Duration time);
  void DrainSearcher(std::size_t searcher);
  // Crashes two searchers of different services. Their successors take over
  // each other's address while the old registrations are still in the store.
  void SwapAddresses(std::size_t first, std::size_t second);
  void ChangeConfiguration();

  std::size_t daemon_count() const { return daemons_.size(); }
  std::size_t searcher_count() const { return searchers_.size(); }
  InvariantChecker& checker() { return checker_; }
  // Stops the daemons gracefully. Returns false when a daemon exited uncleanly,
  // now or earlier.
  bool Stop();

 private:
  struct Daemon {
    std::unique_ptr<FaultProxy> store_proxy;
    std::string settings_path;
    std::string log_path;
    SocketAddress callers;
    std::unique_ptr<standin::ChildProcess> process;
    // When the process was told to shut down gracefully.
    std::optional<TimePoint> terminated_at;
    bool killed = false;
  };
  struct Searcher {
    std::unique_ptr<FaultProxy> proxy;
    std::unique_ptr<PlatformSearcher> server;
    // A drain or an address swap is in progress.
    bool being_replaced = false;
  };

  void AddDaemon(int n, const SoakOptions& options);
  void AddSearcher(const std::string& service);
  void StartSearcher(Searcher& searcher, const std::string& service);
  // Sets a fault of the searcher and clears it after this time, unless the
  // searcher has been replaced by then.
  void SetFaultFor(std::size_t searcher,
                   Duration time,
                   void (PlatformSearcher::*set)(bool));
  void StartProcess(std::size_t daemon);
  void CheckProcesses();
  void OnExit(std::size_t daemon, int code);
  void RecordFaultOnAll(Duration time);

  boost::asio::io_context context_;
  AsioTimerService timers_;
  std::string program_;
  InvariantChecker checker_;
  KvServer store_;
  std::vector<Daemon> daemons_;
  std::vector<Searcher> searchers_;
  std::vector<std::unique_ptr<SoakCaller>> callers_;
  int last_searcher_number_ = 0;
  int version_ = 1;
  int store_stops_ = 0;
  bool stopping_ = false;
  bool unclean_exit_ = false;
};

}  // namespace jujubecove::soak
