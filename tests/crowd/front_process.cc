#include "tests/crowd/front_process.h"

#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <cstdlib>
#include <filesystem>
#include <fstream>

#include "platform/wire_names.h"

namespace jujubecove::crowd {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;
using std::chrono::milliseconds;

// "/search/" gathers large answers, "/slow/" waits long for its searcher. The
// timeouts are longer than a test, so that only limits of memory and of
// descriptors act on its connections.
constexpr char kConfiguration[] = R"({"Version": 1, "Routes": [
  {"Name": "search", "Host": "h", "Prefix": "/search/", "Kind": "idempotent",
   "TimeoutMs": 30000, "TargetLatencyMs": 20000, "Priority": 1,
   "MaxAttempts": 2, "TopK": 8192, "MinShardShare": 0.5,
   "Gather": ["shard-0", "shard-1"]},
  {"Name": "slow", "Host": "h", "Prefix": "/slow/", "Kind": "non_idempotent",
   "TimeoutMs": 60000, "TargetLatencyMs": 60000, "Priority": 1,
   "MaxAttempts": 1, "Service": "slow"},
  {"Name": "small", "Host": "h", "Prefix": "/small/", "Kind": "idempotent",
   "TimeoutMs": 5000, "TargetLatencyMs": 2000, "Priority": 1,
   "MaxAttempts": 2, "Service": "small"}],
  "Services": [{"Name": "shard-0", "MaxConnections": 10},
               {"Name": "shard-1", "MaxConnections": 10},
               {"Name": "slow", "MaxConnections": 10},
               {"Name": "small", "MaxConnections": 10}],
  "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144,
             "HeaderTimeoutMs": 600000, "IdleTimeoutMs": 600000}})";
constexpr std::size_t kShardBytes = std::size_t{128} << 10U;

SocketAddress FreeAddress() {
  boost::asio::io_context context;
  tcp::acceptor probe(
      context, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
  return SocketAddress{"127.0.0.1", probe.local_endpoint().port()};
}

std::string ScratchPath(const std::string& name) {
  std::filesystem::path directory = std::filesystem::temp_directory_path() /
                                    ("crowd-" + std::to_string(getpid()));
  std::filesystem::create_directories(directory);
  return (directory / name).string();
}

// Returns the status of the answer, 0 if there is none.
int Ask(const SocketAddress& address, const std::string& target) {
  boost::asio::io_context context;
  tcp::socket socket(context);
  error_code ec;
  socket.connect(
      tcp::endpoint(boost::asio::ip::make_address(address.ip), address.port),
      ec);
  socket.non_blocking(true, ec);
  boost::asio::write(
      socket,
      boost::asio::buffer("GET " + target +
                          " HTTP/1.1\r\nHost: h\r\nRequest-Id: ordinary\r\n"
                          "Connection: close\r\n\r\n"),
      ec);
  constexpr std::size_t kStatusAt = 9;
  constexpr std::size_t kStatusEnd = 12;
  std::string text;
  for (int n = 0; n < 200 && text.size() < kStatusEnd; ++n) {
    std::array<char, 4096> buf{};
    std::size_t size = socket.read_some(boost::asio::buffer(buf), ec);
    text.append(buf.data(), size);
    if (ec && ec != boost::asio::error::would_block)
      break;
    if (size == 0)
      std::this_thread::sleep_for(milliseconds(10));
  }
  return text.size() < kStatusEnd
             ? 0
             : std::atoi(text.substr(kStatusAt, 3).c_str());
}

}  // namespace

int AskUntil(const SocketAddress& address,
             const std::string& target,
             int status) {
  int last = 0;
  for (int n = 0; n < 10 && last != status; ++n) {
    if (n > 0)
      std::this_thread::sleep_for(milliseconds(100));
    last = Ask(address, target);
  }
  return last;
}

FrontProcess::FrontProcess(const FrontLimits& limits)
    : timers_(context_),
      store_(context_, 0),
      callers_(FreeAddress()),
      readiness_(FreeAddress()),
      metrics_(FreeAddress()),
      peers_(FreeAddress()) {
  AddSearchers();
  store_.store().Set(platform::kConfigKey, kConfiguration);
  thread_ = std::thread([this] { context_.run(); });
  std::string settings = ScratchPath("front.ini");
  WriteSettings(settings, limits);
  process_ = std::make_unique<standin::ChildProcess>(
      std::vector<std::string>{JUJUBECOVE_FRONT, "--config", settings},
      ScratchPath("front.log"));
}

FrontProcess::~FrontProcess() {
  process_.reset();
  context_.stop();
  thread_.join();
}

void FrontProcess::AddSearchers() {
  for (const char* service : {"shard-0", "shard-1", "slow", "small"}) {
    searchers_.push_back(std::make_unique<PlatformSearcher>(
        context_, timers_, service, std::string(service) + ".0", 0));
    PlatformSearcher& searcher = *searchers_.back();
    if (searcher.service() == "slow")
      searcher.set_service_time(std::chrono::seconds(60));
    else if (searcher.service() != "small")
      searcher.set_body(std::string(kShardBytes, 'x'));
    store_.store().Set(searcher.Key(),
                       searcher.Registration(SearcherState::kReady));
  }
}

void FrontProcess::WriteSettings(const std::string& path,
                                 const FrontLimits& limits) const {
  std::ofstream(path) << "[vm]\nid = front\nzone = nyeri\nmemory_mb = "
                      << limits.memory_mb
                      << "\nmax_descriptors = " << limits.max_descriptors
                      << "\n[listen]\ncallers = " << callers_.ToString()
                      << "\nreadiness = " << readiness_.ToString()
                      << "\nmetrics = " << metrics_.ToString()
                      << "\npeers = " << peers_.ToString()
                      << "\n[store]\naddress = 127.0.0.1:" << store_.port()
                      << "\n";
}

bool FrontProcess::AwaitReady() {
  constexpr int kOk = 200;
  bool is_ready = false;
  for (int n = 0; n < 20 && !is_ready; ++n)
    is_ready = AskUntil(readiness_, "/ready", kOk) == kOk;
  return is_ready && AskUntil(callers_, "/small/1", kOk) == kOk;
}

void FrontProcess::LimitDescriptors(int count) {
  rlimit limit{static_cast<rlim_t>(count), static_cast<rlim_t>(count)};
  prlimit(process_->pid(), RLIMIT_NOFILE, &limit, nullptr);
}

std::size_t FrontProcess::PeakResidentBytes() const {
  std::ifstream file("/proc/" + std::to_string(process_->pid()) + "/status");
  std::string word;
  std::size_t kilobytes = 0;
  while (file >> word) {
    if (word == "VmHWM:")
      file >> kilobytes;
  }
  return kilobytes << 10U;
}

std::size_t FrontProcess::OpenDescriptors() const {
  std::filesystem::directory_iterator it(
      "/proc/" + std::to_string(process_->pid()) + "/fd");
  return static_cast<std::size_t>(std::distance(begin(it), end(it)));
}

}  // namespace jujubecove::crowd
