#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "kernel/asio_timer_service.h"
#include "tests/soak/fault_proxy.h"
#include "tests/soak/promise_ledger.h"
#include "tests/soak/soak_caller.h"
#include "tests/standin/child_process.h"
#include "tests/standin/kv_server.h"
#include "tests/standin/platform_searcher.h"

namespace jujubecove::soak {

struct SoakOptions {
  // The daemon's program.
  std::string program;
  // Settings and logs of the daemons.
  std::string directory;
  std::uint64_t seed = 1;
  int daemons = 3;
  int callers = 6;
};

// Daemons as processes, with the store, searchers, callers and network of this
// process around them, and operations that inject faults.
class SoakWorld {
 public:
  explicit SoakWorld(const SoakOptions& options);
  ~SoakWorld();

  // Starts everything; false when the daemons do not become ready.
  bool Start();
  void RunFor(Duration time);

  // Faults. Those that take a time end by themselves.
  void TerminateDaemon(std::size_t daemon);
  void KillDaemon(std::size_t daemon);
  void PauseDaemon(std::size_t daemon, Duration time);
  void ReloadDaemon(std::size_t daemon);
  // Bounds on time don't hold for the daemon until that time has passed.
  void Disturb(std::size_t daemon, Duration time);
  // The network between a daemon and the store, and before a searcher.
  FaultProxy& StoreLink(std::size_t daemon) {
    return *daemons_[daemon].store_link;
  }
  FaultProxy& SearcherLink(std::size_t searcher) {
    return *searchers_[searcher].link;
  }
  void HealAfter(FaultProxy& link, Duration time);
  void StopStore(Duration time);
  void CompactStore();
  void RefuseAtSearcher(std::size_t searcher, Duration time);
  void LoseRepliesOfSearcher(std::size_t searcher, Duration time);
  void DrainSearcher(std::size_t searcher);
  // Ends two searchers of different services; their successors take each
  // other's address while the old registrations still stand.
  void SwapAddresses(std::size_t first, std::size_t second);
  void ChangeConfiguration();

  std::size_t daemon_count() const { return daemons_.size(); }
  std::size_t searcher_count() const { return searchers_.size(); }
  PromiseLedger& ledger() { return ledger_; }
  // Stops the daemons gracefully; false when one fails to end so.
  bool Stop();

 private:
  struct Daemon {
    std::unique_ptr<FaultProxy> store_link;
    std::string settings_path;
    std::string log_path;
    SocketAddress callers;
    std::unique_ptr<standin::ChildProcess> process;
    // Set while the process was told to end gracefully.
    std::optional<TimePoint> terminated;
    bool killed = false;
  };
  struct Searcher {
    std::unique_ptr<FaultProxy> link;
    std::unique_ptr<PlatformSearcher> server;
    // A drain or a swap is under way.
    bool leaving = false;
  };

  void AddDaemon(int n, const SoakOptions& options);
  void AddSearcher(const std::string& service);
  void StartServer(Searcher& searcher, const std::string& service);
  // Sets a fault of the server for that time, unless it is replaced meanwhile.
  void SwitchFor(std::size_t searcher,
                 Duration time,
                 void (PlatformSearcher::*set)(bool));
  void StartProcess(std::size_t daemon);
  void WatchProcesses();
  void OnExit(std::size_t daemon, int code);
  void DisturbAll(Duration time);

  boost::asio::io_context context_;
  AsioTimerService timers_;
  std::string program_;
  PromiseLedger ledger_;
  KvServer store_;
  std::vector<Daemon> daemons_;
  std::vector<Searcher> searchers_;
  std::vector<std::unique_ptr<SoakCaller>> callers_;
  int last_searcher_ = 0;
  int version_ = 1;
  int store_stops_ = 0;
  bool stopping_ = false;
  bool ended_badly_ = false;
};

}  // namespace jujubecove::soak
