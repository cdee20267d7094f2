#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace jujubecove::bench {

// One kind of request in a load.
struct LoadKind {
  std::string kind;
  // Requests per second, over all targets.
  double rate = 100.0;
  std::chrono::milliseconds deadline{250};
  // Sends a random key, for kinds that address one key.
  bool one_key = false;
  // Fetches a ticket before each request; its latency is not counted.
  bool ticket = false;
  std::string caller = "bench";
  std::string body = "{}";
};

// Result of one request.
struct LoadSample {
  std::size_t kind = 0;
  std::size_t target = 0;
  // Scheduled send time since the start of the load, not the time at which a
  // connection was free, so that a stall of the daemon counts as latency.
  std::chrono::microseconds due{};
  std::chrono::microseconds latency{};
  // 0 if the connection failed.
  unsigned http_status = 0;
  std::string status;
  std::string execution;
  double covered_share = 0.0;
  std::string ticket;
};

struct LoadOptions {
  std::vector<LoadKind> kinds;
  std::vector<std::uint16_t> ports;
  std::chrono::milliseconds duration{5'000};
  // Connections to each target; more are opened when all are in use.
  std::size_t connections = 16;
  std::uint64_t seed = 1;
  // Called before each request; if it returns false, another target is tried.
  std::function<bool(std::size_t target)> target_is_live;
};

// Generates an open-loop load with Poisson arrivals and returns a sample of
// each request. Blocks until every request has finished.
std::vector<LoadSample> RunLoad(const LoadOptions& options);

// The q-quantile of the latencies in milliseconds; 0 without samples.
double QuantileMs(const std::vector<LoadSample>& samples, double q);
// The samples for which `keep` holds.
std::vector<LoadSample> Filter(
    const std::vector<LoadSample>& samples,
    const std::function<bool(const LoadSample&)>& keep);
double ShareOf(const std::vector<LoadSample>& samples,
               const std::function<bool(const LoadSample&)>& keep);

}  // namespace jujubecove::bench
