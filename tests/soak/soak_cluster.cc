#include "tests/soak/soak_cluster.h"

#include <unistd.h>

#include <boost/asio/ip/address_v4.hpp>
#include <csignal>
#include <fstream>
#include <iostream>
#include <utility>

#include "platform/wire_names.h"
#include "tests/soak/soak_config.h"

namespace jujubecove::soak {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Time from SIGTERM to SIGKILL; also grace_s in the daemons' settings.
constexpr int kStopGraceSeconds = 6;
constexpr Duration kProcessCheckInterval = milliseconds(20);
constexpr Duration kRestartDelay = milliseconds(300);
// A draining searcher keeps serving for this long.
constexpr Duration kServeWhileDraining = seconds(5);
constexpr Duration kAddressReuseDelay = seconds(2);
// A registration expires three heartbeats of 1.2 s after its searcher stops.
constexpr Duration kRegistrationTtl = milliseconds(3600);
constexpr Duration kReadyTimeout = seconds(10);

// Ports below the ephemeral range, so that no outgoing connection takes the
// port of a restarting daemon. Concurrent soaks start at different ports.
constexpr int kFirstPort = 20000;
constexpr int kPortCount = 12000;

SocketAddress FreeAddress() {
  static int next = static_cast<int>(getpid()) * 64;
  boost::asio::io_context context;
  while (true) {
    auto port = static_cast<std::uint16_t>(kFirstPort + next++ % kPortCount);
    boost::asio::ip::tcp::acceptor probe(context);
    boost::asio::ip::tcp::endpoint endpoint(
        boost::asio::ip::address_v4::loopback(), port);
    boost::system::error_code ec;
    probe.open(endpoint.protocol(), ec);
    probe.bind(endpoint, ec);
    if (!ec)
      return SocketAddress{"127.0.0.1", port};
  }
}

}  // namespace

SoakCluster::SoakCluster(const SoakOptions& options)
    : timers_(context_),
      program_(options.program),
      checker_(static_cast<std::size_t>(options.daemons)),
      store_(context_, 0) {
  std::set<std::string> shards;
  for (int n = 0; n < kShards; ++n) {
    shards.insert(ShardName(n));
    for (int replica = 0; replica < kReplicas; ++replica)
      AddSearcher(ShardName(n));
  }
  for (int replica = 0; replica < kReplicas; ++replica)
    AddSearcher(kLookupService);
  checker_.set_shards(std::move(shards));
  checker_.AddLookupService(kLookupService);
  store_.store().Set(platform::kConfigKey, MakeConfiguration(version_));
  checker_.OnConfigVersion(version_, timers_.Now());
  for (int n = 0; n < options.daemons; ++n) {
    AddDaemon(n, options);
    for (int caller = 0; caller < options.callers; ++caller) {
      std::uint64_t seed = options.seed * 1000 + callers_.size();
      callers_.push_back(std::make_unique<SoakCaller>(
          context_, timers_, checker_, daemons_.size() - 1,
          daemons_.back().callers, seed));
    }
  }
}

SoakCluster::~SoakCluster() {
  callers_.clear();
}

void SoakCluster::AddDaemon(int n, const SoakOptions& options) {
  std::string name = "daemon-" + std::to_string(n);
  Daemon daemon;
  daemon.store_proxy = std::make_unique<FaultProxy>(context_, timers_);
  daemon.store_proxy->set_target(store_.port());
  daemon.callers = FreeAddress();
  daemon.settings_path = options.directory + "/" + name + ".ini";
  daemon.log_path = options.directory + "/" + name + ".log";
  std::ofstream(daemon.settings_path)
      << "[vm]\nid = " << name
      << "\nzone = nyeri\n[listen]\ncallers = " << daemon.callers.ToString()
      << "\nreadiness = " << FreeAddress().ToString()
      << "\n[store]\naddress = 127.0.0.1:" << daemon.store_proxy->port()
      << "\n[repeats]\nslack = 60\n[drain]\ngrace_s = " << kStopGraceSeconds
      << "\n";
  daemons_.push_back(std::move(daemon));
}

void SoakCluster::AddSearcher(const std::string& service) {
  Searcher searcher;
  searcher.proxy = std::make_unique<FaultProxy>(context_, timers_);
  StartSearcher(searcher, service);
  searchers_.push_back(std::move(searcher));
}

void SoakCluster::StartSearcher(Searcher& searcher,
                                const std::string& service) {
  std::string id = service + "." + std::to_string(++last_searcher_number_);
  searcher.server =
      std::make_unique<PlatformSearcher>(context_, timers_, service, id, 0);
  searcher.server->set_advertised_port(searcher.proxy->port());
  searcher.server->set_observer(
      [this](const SearcherRun& run) { checker_.OnRun(run, timers_.Now()); });
  searcher.proxy->set_target(searcher.server->port());
  searcher.being_replaced = false;
  store_.store().Set(searcher.server->Key(),
                     searcher.server->Registration(SearcherState::kReady));
}

void SoakCluster::StartProcess(std::size_t daemon) {
  Daemon& it = daemons_[daemon];
  it.terminated_at.reset();
  it.killed = false;
  it.process = std::make_unique<standin::ChildProcess>(
      std::vector<std::string>{program_, "--config", it.settings_path},
      it.log_path);
  checker_.OnStart(daemon);
  RecordFault(daemon, Duration(0));
}

bool SoakCluster::Start() {
  for (std::size_t n = 0; n < daemons_.size(); ++n)
    StartProcess(n);
  CheckProcesses();
  RunFor(milliseconds(300));
  for (const std::unique_ptr<SoakCaller>& it : callers_)
    it->Start();
  TimePoint limit = timers_.Now() + kReadyTimeout;
  while (checker_.success_count() == 0 && timers_.Now() < limit)
    RunFor(milliseconds(50));
  return checker_.success_count() > 0;
}

void SoakCluster::RunFor(Duration time) {
  timers_.ScheduleAfter(time, [this] { context_.stop(); });
  context_.restart();
  context_.run();
}

void SoakCluster::CheckProcesses() {
  for (std::size_t n = 0; n < daemons_.size(); ++n) {
    Daemon& it = daemons_[n];
    if (!it.process)
      continue;
    std::optional<int> code = it.process->Wait(milliseconds(0));
    if (code) {
      OnExit(n, *code);
    } else if (it.terminated_at &&
               timers_.Now() > *it.terminated_at + seconds(kStopGraceSeconds)) {
      std::cout << "daemon " << n << " did not exit within its grace period\n";
      unclean_exit_ = true;
      it.killed = true;
      it.process->Signal(SIGKILL);
    }
  }
  timers_.ScheduleAfter(kProcessCheckInterval, [this] { CheckProcesses(); });
}

void SoakCluster::OnExit(std::size_t daemon, int code) {
  Daemon& it = daemons_[daemon];
  bool expected = it.killed || (it.terminated_at && code == 0);
  if (!expected) {
    std::cout << "daemon " << daemon << " exited unexpectedly with code "
              << code << "\n";
    unclean_exit_ = true;
  }
  it.process.reset();
  if (!stopping_) {
    timers_.ScheduleAfter(kRestartDelay,
                          [this, daemon] { StartProcess(daemon); });
  }
}

void SoakCluster::RecordFault(std::size_t daemon, Duration time) {
  checker_.OnFault(daemon, timers_.Now() + time);
}

void SoakCluster::RecordFaultOnAll(Duration time) {
  for (std::size_t n = 0; n < daemons_.size(); ++n)
    RecordFault(n, time);
}

void SoakCluster::TerminateDaemon(std::size_t daemon) {
  Daemon& it = daemons_[daemon];
  if (!it.process || it.terminated_at)
    return;
  it.terminated_at = timers_.Now();
  checker_.OnTerminate(daemon, timers_.Now());
  it.process->Signal(SIGTERM);
}

void SoakCluster::KillDaemon(std::size_t daemon) {
  Daemon& it = daemons_[daemon];
  if (!it.process)
    return;
  it.killed = true;
  RecordFault(daemon, Duration(0));
  it.process->Signal(SIGKILL);
}

void SoakCluster::PauseDaemon(std::size_t daemon, Duration time) {
  Daemon& it = daemons_[daemon];
  if (!it.process || it.terminated_at)
    return;
  RecordFault(daemon, time);
  pid_t pid = it.process->pid();
  it.process->Signal(SIGSTOP);
  timers_.ScheduleAfter(time, [this, daemon, pid] {
    Daemon& it = daemons_[daemon];
    if (it.process && it.process->pid() == pid)
      it.process->Signal(SIGCONT);
  });
}

void SoakCluster::ReloadDaemon(std::size_t daemon) {
  if (daemons_[daemon].process)
    daemons_[daemon].process->Signal(SIGHUP);
}

void SoakCluster::HealAfter(FaultProxy& proxy, Duration time) {
  timers_.ScheduleAfter(time, [&proxy] { proxy.Heal(); });
}

void SoakCluster::StopStore(Duration time) {
  RecordFaultOnAll(time);
  ++store_stops_;
  store_.store().set_call_status(KvStatus::kRefused);
  timers_.ScheduleAfter(time, [this] {
    if (--store_stops_ == 0)
      store_.store().set_call_status(KvStatus::kOk);
  });
}

void SoakCluster::CompactStore() {
  RecordFaultOnAll(Duration(0));
  store_.store().Compact();
}

void SoakCluster::RefuseRequests(std::size_t searcher, Duration time) {
  SetFaultFor(searcher, time, &PlatformSearcher::set_refusing);
}

void SoakCluster::LoseReplies(std::size_t searcher, Duration time) {
  SetFaultFor(searcher, time, &PlatformSearcher::set_losing_replies);
}

void SoakCluster::SetFaultFor(std::size_t searcher,
                              Duration time,
                              void (PlatformSearcher::*set)(bool)) {
  PlatformSearcher& server = *searchers_[searcher].server;
  (server.*set)(true);
  timers_.ScheduleAfter(time, [this, searcher, set, id = server.id()] {
    PlatformSearcher* current = searchers_[searcher].server.get();
    if (current != nullptr && current->id() == id)
      (current->*set)(false);
  });
}

void SoakCluster::DrainSearcher(std::size_t searcher) {
  Searcher& it = searchers_[searcher];
  if (it.being_replaced)
    return;
  it.being_replaced = true;
  store_.store().Set(it.server->Key(),
                     it.server->Registration(SearcherState::kDraining));
  checker_.OnDraining(it.server->id(), timers_.Now());
  timers_.ScheduleAfter(kServeWhileDraining, [this, searcher] {
    Searcher& it = searchers_[searcher];
    store_.store().Remove(it.server->Key());
    std::string service = it.server->service();
    it.server->Crash();
    StartSearcher(it, service);
  });
}

void SoakCluster::SwapAddresses(std::size_t first, std::size_t second) {
  Searcher& a = searchers_[first];
  Searcher& b = searchers_[second];
  if (a.being_replaced || b.being_replaced ||
      a.server->service() == b.server->service())
    return;
  for (Searcher* it : {&a, &b}) {
    it->being_replaced = true;
    it->server->Crash();
    std::string key = it->server->Key();
    timers_.ScheduleAfter(kRegistrationTtl,
                          [this, key] { store_.store().Remove(key); });
  }
  timers_.ScheduleAfter(kAddressReuseDelay, [this, first, second] {
    Searcher& a = searchers_[first];
    Searcher& b = searchers_[second];
    std::string service = a.server->service();
    StartSearcher(a, b.server->service());
    StartSearcher(b, service);
  });
}

void SoakCluster::ChangeConfiguration() {
  ++version_;
  store_.store().Set(platform::kConfigKey, MakeConfiguration(version_));
  checker_.OnConfigVersion(version_, timers_.Now());
}

bool SoakCluster::Stop() {
  stopping_ = true;
  for (std::size_t n = 0; n < daemons_.size(); ++n)
    TerminateDaemon(n);
  TimePoint limit =
      timers_.Now() + seconds(kStopGraceSeconds) + milliseconds(500);
  auto is_running = [](const Daemon& it) { return it.process != nullptr; };
  while (std::any_of(daemons_.begin(), daemons_.end(), is_running) &&
         timers_.Now() < limit)
    RunFor(kProcessCheckInterval);
  return !unclean_exit_;
}

}  // namespace jujubecove::soak
