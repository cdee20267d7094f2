#pragma once

#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "kernel/asio_timer_service.h"
#include "settings/socket_address.h"
#include "tests/standin/child_process.h"
#include "tests/standin/kv_server.h"
#include "tests/standin/platform_searcher.h"

namespace jujubecove::crowd {

// Limits in the settings of the entry daemon.
struct FrontLimits {
  int memory_mb = 24;
  int max_descriptors = 640;
};

// A real entry daemon on loopback addresses. Its store and its searchers run
// on a thread of this process.
class FrontProcess {
 public:
  explicit FrontProcess(const FrontLimits& limits);
  ~FrontProcess();

  FrontProcess(const FrontProcess&) = delete;
  FrontProcess& operator=(const FrontProcess&) = delete;

  // Returns false if the daemon does not become ready.
  bool AwaitReady();
  // Limits the descriptors that the kernel gives the daemon.
  void LimitDescriptors(int count);
  bool IsRunning() { return process_->running(); }
  // The most memory that the daemon has had resident.
  std::size_t PeakResidentBytes() const;
  std::size_t OpenDescriptors() const;

  const SocketAddress& callers() const { return callers_; }
  const SocketAddress& readiness() const { return readiness_; }
  const SocketAddress& metrics() const { return metrics_; }
  const SocketAddress& peers() const { return peers_; }

 private:
  void AddSearchers();
  void WriteSettings(const std::string& path, const FrontLimits& limits) const;

  boost::asio::io_context context_;
  AsioTimerService timers_;
  KvServer store_;
  std::vector<std::unique_ptr<PlatformSearcher>> searchers_;
  std::thread thread_;
  SocketAddress callers_;
  SocketAddress readiness_;
  SocketAddress metrics_;
  SocketAddress peers_;
  std::unique_ptr<standin::ChildProcess> process_;
};

// Sends requests on a connection of its own until one gets this status. Returns
// the last status, 0 if there was no answer.
int AskUntil(const SocketAddress& address,
             const std::string& target,
             int status);

}  // namespace jujubecove::crowd
