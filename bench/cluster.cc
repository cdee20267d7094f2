#include "bench/cluster.h"

#include <signal.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <future>
#include <iostream>
#include <sstream>
#include <thread>

#include "ctl/http_fetch.h"

namespace jujubecove::bench {
namespace {

using std::chrono::milliseconds;

constexpr std::uint16_t kPortsPerDaemon = 10;
constexpr milliseconds kReadyTimeout{20'000};
// Time to fill the connection pools and to get stable latency estimates.
constexpr milliseconds kSettleTime{6'000};

// The build directory; this program is in its bench/ directory.
std::string BuildDirectory() {
  std::filesystem::path self = std::filesystem::read_symlink("/proc/self/exe");
  return self.parent_path().parent_path().string();
}

[[noreturn]] void ExitWithError(const std::string& message) {
  std::cerr << message << "\n";
  std::exit(2);
}

}  // namespace

// All ports are below the ephemeral port range of the system.
std::uint16_t DefaultFirstPort() {
  constexpr int kLowestPort = 12'000;
  constexpr int kPortsPerProcess = 1'250;
  constexpr int kProcesses = 16;
  return static_cast<std::uint16_t>(kLowestPort +
                                    getpid() % kProcesses * kPortsPerProcess);
}

Cluster::Cluster(const ClusterOptions& options) : options_(options) {
  directory_ = (std::filesystem::temp_directory_path() /
                ("jujubecove-bench-" + std::to_string(getpid())))
                   .string();
  std::filesystem::remove_all(directory_);
  std::filesystem::create_directories(directory_);
  fleet_ = std::make_unique<standin::SearcherFleetServer>(
      options_.fleet_threads,
      static_cast<std::uint16_t>(options_.first_port + 1'000),
      std::vector<std::string>{"zone-a", "zone-b", "zone-c"}, options_.seed);
  for (const std::string& it : options_.services) {
    Result<standin::FleetServiceSpec> spec = standin::ParseFleetServiceSpec(it);
    if (!spec)
      ExitWithError(spec.error().detail);
    fleet_->AddService(spec.value());
  }
  fleet_->Start();
  std::ofstream(directory_ + "/vms.json") << fleet_->VmListJson();
  std::ofstream(directory_ + "/document.ini") << options_.document;
  platform_ = std::make_unique<standin::ChildProcess>(
      std::vector<std::string>{
          BuildDirectory() + "/tests/standin/standin_platform",
          "--port=" + std::to_string(options_.first_port),
          "--vms_file=" + directory_ + "/vms.json"},
      directory_ + "/platform.log");
  for (std::size_t n = 0; n < options_.daemons; ++n) {
    WriteSettings(n);
    daemons_.emplace_back();
    StartDaemon(n);
  }
  for (std::size_t n = 0; n < options_.daemons; ++n)
    WaitUntilReady(n);
  std::this_thread::sleep_for(kSettleTime);
}

Cluster::~Cluster() {
  for (std::unique_ptr<standin::ChildProcess>& it : daemons_)
    it->Signal(SIGKILL);
  daemons_.clear();
  platform_.reset();
  fleet_->Stop();
  if (std::getenv("KEEP_BENCH_FILES") == nullptr)
    std::filesystem::remove_all(directory_);
}

std::uint16_t Cluster::CallerPort(std::size_t n) const {
  return static_cast<std::uint16_t>(options_.first_port + 100 +
                                    n * kPortsPerDaemon);
}

std::string Cluster::CallerAddress(std::size_t n) const {
  return "127.0.0.1:" + std::to_string(CallerPort(n));
}

std::vector<std::uint16_t> Cluster::caller_ports() const {
  std::vector<std::uint16_t> ports;
  for (std::size_t n = 0; n < daemons_.size(); ++n)
    ports.push_back(CallerPort(n));
  return ports;
}

void Cluster::WriteSettings(std::size_t n) {
  std::ofstream out(directory_ + "/daemon" + std::to_string(n) + ".ini");
  out << "[daemon]\nvm_id = entry-" << n << "\nzone = zone-a\n"
      << "[listen]\ncallers = 127.0.0.1:" << CallerPort(n)
      << "\n[platform]\naddress = 127.0.0.1:" << options_.first_port << "\n";
  if (options_.baseline)
    out << "[policy]\nbaseline = true\n";
}

void Cluster::StartDaemon(std::size_t n) {
  std::string name = directory_ + "/daemon" + std::to_string(n);
  daemons_[n] = std::make_unique<standin::ChildProcess>(
      std::vector<std::string>{BuildDirectory() + "/src/jujubecoved",
                               "--config=" + name + ".ini",
                               "--document=" + directory_ + "/document.ini"},
      name + ".log");
}

void Cluster::RestartDaemon(std::size_t n) {
  daemons_[n].reset();
  StartDaemon(n);
  WaitUntilReady(n);
}

void Cluster::WaitUntilReady(std::size_t n) {
  constexpr milliseconds kPollInterval{20};
  HttpReply reply;
  for (milliseconds elapsed{0}; elapsed < kReadyTimeout;
       elapsed += kPollInterval) {
    reply = Get(CallerAddress(n), "/readyz");
    if (reply.status == 200)
      return;
    if (!daemons_[n]->running())
      ExitWithError("entry daemon " + std::to_string(n) + " ended; see " +
                    directory_);
    std::this_thread::sleep_for(kPollInterval);
  }
  ExitWithError("entry daemon " + std::to_string(n) +
                " is not ready: " + reply.body);
}

void Cluster::ApplyFaults(const std::string& row) {
  std::promise<bool> applied;
  fleet_->ApplyFaults(row, [&applied](bool ok) { applied.set_value(ok); });
  if (!applied.get_future().get())
    ExitWithError("malformed fault row " + row);
}

boost::json::object Cluster::SearcherStats() {
  std::promise<std::string> stats;
  fleet_->Stats(
      [&stats](std::string text) { stats.set_value(std::move(text)); });
  return boost::json::parse(stats.get_future().get()).as_object();
}

double Cluster::SumOfStat(const char* member) {
  double sum = 0.0;
  boost::json::object stats = SearcherStats();
  for (const boost::json::value& row : stats.at("searchers").as_array())
    sum += row.at(member).to_number<double>();
  return sum;
}

double Cluster::MaxOfStat(const char* member) {
  double max = 0.0;
  boost::json::object stats = SearcherStats();
  for (const boost::json::value& row : stats.at("searchers").as_array())
    max = std::max(max, row.at(member).to_number<double>());
  return max;
}

double Cluster::Metric(std::size_t n, const std::string& name) {
  double sum = 0.0;
  std::istringstream text(Get(CallerAddress(n), "/metrics").body);
  for (std::string line; std::getline(text, line);) {
    std::size_t end = line.find_first_of(" {");
    if (end == std::string::npos || line.compare(0, end, name) != 0)
      continue;
    sum += std::strtod(line.c_str() + line.rfind(' '), nullptr);
  }
  return sum;
}

double Cluster::TotalMetric(const std::string& name) {
  double sum = 0.0;
  for (std::size_t n = 0; n < daemons_.size(); ++n)
    sum += Metric(n, name);
  return sum;
}

}  // namespace jujubecove::bench
