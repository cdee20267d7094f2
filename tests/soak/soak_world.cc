#include "tests/soak/soak_world.h"

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

// The time between the signal to stop and the kill, as in the settings.
constexpr int kGraceSeconds = 6;
constexpr Duration kProcessCheck = milliseconds(20);
constexpr Duration kRestartDelay = milliseconds(300);
// A searcher serves on so long after it reported that it leaves.
constexpr Duration kServesAfterDrain = seconds(5);
constexpr Duration kReuseDelay = seconds(2);
// A registration outlives its searcher by three heartbeats of 1.2 s.
constexpr Duration kRegistrationOutlives = milliseconds(3600);
constexpr Duration kReadyTimeout = seconds(10);

// Ports below those that the system gives to outgoing connections, one of which
// could take a daemon's port while it restarts. Soaks that run beside each
// other start at different ones.
constexpr int kFirstPort = 20000;
constexpr int kPorts = 12000;

SocketAddress FreeAddress() {
  static int next = static_cast<int>(getpid()) * 64;
  boost::asio::io_context context;
  while (true) {
    auto port = static_cast<std::uint16_t>(kFirstPort + next++ % kPorts);
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

SoakWorld::SoakWorld(const SoakOptions& options)
    : timers_(context_),
      program_(options.program),
      ledger_(static_cast<std::size_t>(options.daemons)),
      store_(context_, 0) {
  std::set<std::string> shards;
  for (int n = 0; n < kShards; ++n) {
    shards.insert(ShardName(n));
    for (int replica = 0; replica < kReplicas; ++replica)
      AddSearcher(ShardName(n));
  }
  for (int replica = 0; replica < kReplicas; ++replica)
    AddSearcher(kLookupService);
  ledger_.set_shards(std::move(shards));
  ledger_.AddLookupService(kLookupService);
  store_.store().Set(platform::kConfigKey, Configuration(version_));
  ledger_.OnVersion(version_, timers_.Now());
  for (int n = 0; n < options.daemons; ++n) {
    AddDaemon(n, options);
    for (int caller = 0; caller < options.callers; ++caller) {
      std::uint64_t seed = options.seed * 1000 + callers_.size();
      callers_.push_back(std::make_unique<SoakCaller>(
          context_, timers_, ledger_, daemons_.size() - 1,
          daemons_.back().callers, seed));
    }
  }
}

SoakWorld::~SoakWorld() {
  callers_.clear();
}

void SoakWorld::AddDaemon(int n, const SoakOptions& options) {
  std::string name = "daemon-" + std::to_string(n);
  Daemon daemon;
  daemon.store_link = std::make_unique<FaultProxy>(context_, timers_);
  daemon.store_link->set_target(store_.port());
  daemon.callers = FreeAddress();
  daemon.settings_path = options.directory + "/" + name + ".ini";
  daemon.log_path = options.directory + "/" + name + ".log";
  std::ofstream(daemon.settings_path)
      << "[vm]\nid = " << name
      << "\nzone = nyeri\n[listen]\ncallers = " << daemon.callers.ToString()
      << "\nreadiness = " << FreeAddress().ToString()
      << "\n[store]\naddress = 127.0.0.1:" << daemon.store_link->port()
      << "\n[repeats]\nslack = 60\n[drain]\ngrace_s = " << kGraceSeconds
      << "\n";
  daemons_.push_back(std::move(daemon));
}

void SoakWorld::AddSearcher(const std::string& service) {
  Searcher searcher;
  searcher.link = std::make_unique<FaultProxy>(context_, timers_);
  StartServer(searcher, service);
  searchers_.push_back(std::move(searcher));
}

void SoakWorld::StartServer(Searcher& searcher, const std::string& service) {
  std::string id = service + "." + std::to_string(++last_searcher_);
  searcher.server =
      std::make_unique<PlatformSearcher>(context_, timers_, service, id, 0);
  searcher.server->set_advertised_port(searcher.link->port());
  searcher.server->set_observer(
      [this](const SearcherRun& run) { ledger_.OnRun(run, timers_.Now()); });
  searcher.link->set_target(searcher.server->port());
  searcher.leaving = false;
  store_.store().Set(searcher.server->Key(),
                     searcher.server->Registration(SearcherState::kReady));
}

void SoakWorld::StartProcess(std::size_t daemon) {
  Daemon& it = daemons_[daemon];
  it.terminated.reset();
  it.killed = false;
  it.process = std::make_unique<standin::ChildProcess>(
      std::vector<std::string>{program_, "--config", it.settings_path},
      it.log_path);
  ledger_.OnStart(daemon);
  Disturb(daemon, Duration(0));
}

bool SoakWorld::Start() {
  for (std::size_t n = 0; n < daemons_.size(); ++n)
    StartProcess(n);
  WatchProcesses();
  RunFor(milliseconds(300));
  for (const std::unique_ptr<SoakCaller>& it : callers_)
    it->Start();
  TimePoint limit = timers_.Now() + kReadyTimeout;
  while (ledger_.served() == 0 && timers_.Now() < limit)
    RunFor(milliseconds(50));
  return ledger_.served() > 0;
}

void SoakWorld::RunFor(Duration time) {
  timers_.ScheduleAfter(time, [this] { context_.stop(); });
  context_.restart();
  context_.run();
}

void SoakWorld::WatchProcesses() {
  for (std::size_t n = 0; n < daemons_.size(); ++n) {
    Daemon& it = daemons_[n];
    if (!it.process)
      continue;
    std::optional<int> code = it.process->Wait(milliseconds(0));
    if (code) {
      OnExit(n, *code);
    } else if (it.terminated &&
               timers_.Now() > *it.terminated + seconds(kGraceSeconds)) {
      std::cout << "daemon " << n << " did not end in time\n";
      ended_badly_ = true;
      it.killed = true;
      it.process->Signal(SIGKILL);
    }
  }
  timers_.ScheduleAfter(kProcessCheck, [this] { WatchProcesses(); });
}

void SoakWorld::OnExit(std::size_t daemon, int code) {
  Daemon& it = daemons_[daemon];
  bool expected = it.killed || (it.terminated && code == 0);
  if (!expected) {
    std::cout << "daemon " << daemon << " ended with " << code << "\n";
    ended_badly_ = true;
  }
  it.process.reset();
  if (!stopping_) {
    timers_.ScheduleAfter(kRestartDelay,
                          [this, daemon] { StartProcess(daemon); });
  }
}

void SoakWorld::Disturb(std::size_t daemon, Duration time) {
  ledger_.OnFault(daemon, timers_.Now() + time);
}

void SoakWorld::DisturbAll(Duration time) {
  for (std::size_t n = 0; n < daemons_.size(); ++n)
    Disturb(n, time);
}

void SoakWorld::TerminateDaemon(std::size_t daemon) {
  Daemon& it = daemons_[daemon];
  if (!it.process || it.terminated)
    return;
  it.terminated = timers_.Now();
  ledger_.OnTerminate(daemon, timers_.Now());
  it.process->Signal(SIGTERM);
}

void SoakWorld::KillDaemon(std::size_t daemon) {
  Daemon& it = daemons_[daemon];
  if (!it.process)
    return;
  it.killed = true;
  Disturb(daemon, Duration(0));
  it.process->Signal(SIGKILL);
}

void SoakWorld::PauseDaemon(std::size_t daemon, Duration time) {
  Daemon& it = daemons_[daemon];
  if (!it.process || it.terminated)
    return;
  Disturb(daemon, time);
  pid_t pid = it.process->pid();
  it.process->Signal(SIGSTOP);
  timers_.ScheduleAfter(time, [this, daemon, pid] {
    Daemon& it = daemons_[daemon];
    if (it.process && it.process->pid() == pid)
      it.process->Signal(SIGCONT);
  });
}

void SoakWorld::ReloadDaemon(std::size_t daemon) {
  if (daemons_[daemon].process)
    daemons_[daemon].process->Signal(SIGHUP);
}

void SoakWorld::HealAfter(FaultProxy& link, Duration time) {
  timers_.ScheduleAfter(time, [&link] { link.Heal(); });
}

void SoakWorld::StopStore(Duration time) {
  DisturbAll(time);
  ++store_stops_;
  store_.store().set_call_status(KvStatus::kRefused);
  timers_.ScheduleAfter(time, [this] {
    if (--store_stops_ == 0)
      store_.store().set_call_status(KvStatus::kOk);
  });
}

void SoakWorld::CompactStore() {
  DisturbAll(Duration(0));
  store_.store().Compact();
}

void SoakWorld::RefuseAtSearcher(std::size_t searcher, Duration time) {
  SwitchFor(searcher, time, &PlatformSearcher::set_refusing);
}

void SoakWorld::LoseRepliesOfSearcher(std::size_t searcher, Duration time) {
  SwitchFor(searcher, time, &PlatformSearcher::set_losing_replies);
}

void SoakWorld::SwitchFor(std::size_t searcher,
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

void SoakWorld::DrainSearcher(std::size_t searcher) {
  Searcher& it = searchers_[searcher];
  if (it.leaving)
    return;
  it.leaving = true;
  store_.store().Set(it.server->Key(),
                     it.server->Registration(SearcherState::kDraining));
  ledger_.OnDraining(it.server->id(), timers_.Now());
  timers_.ScheduleAfter(kServesAfterDrain, [this, searcher] {
    Searcher& it = searchers_[searcher];
    store_.store().Remove(it.server->Key());
    std::string service = it.server->service();
    it.server->Crash();
    StartServer(it, service);
  });
}

void SoakWorld::SwapAddresses(std::size_t first, std::size_t second) {
  Searcher& a = searchers_[first];
  Searcher& b = searchers_[second];
  if (a.leaving || b.leaving || a.server->service() == b.server->service())
    return;
  for (Searcher* it : {&a, &b}) {
    it->leaving = true;
    it->server->Crash();
    std::string key = it->server->Key();
    timers_.ScheduleAfter(kRegistrationOutlives,
                          [this, key] { store_.store().Remove(key); });
  }
  timers_.ScheduleAfter(kReuseDelay, [this, first, second] {
    Searcher& a = searchers_[first];
    Searcher& b = searchers_[second];
    std::string service = a.server->service();
    StartServer(a, b.server->service());
    StartServer(b, service);
  });
}

void SoakWorld::ChangeConfiguration() {
  ++version_;
  store_.store().Set(platform::kConfigKey, Configuration(version_));
  ledger_.OnVersion(version_, timers_.Now());
}

bool SoakWorld::Stop() {
  stopping_ = true;
  for (std::size_t n = 0; n < daemons_.size(); ++n)
    TerminateDaemon(n);
  TimePoint limit = timers_.Now() + seconds(kGraceSeconds) + milliseconds(500);
  auto is_up = [](const Daemon& it) { return it.process != nullptr; };
  while (std::any_of(daemons_.begin(), daemons_.end(), is_up) &&
         timers_.Now() < limit)
    RunFor(kProcessCheck);
  return !ended_badly_;
}

}  // namespace jujubecove::soak
