#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <thread>
#include <vector>

#include "bench/cluster.h"
#include "bench/load_generator.h"

namespace jujubecove::bench {

// A service of ten shards with three replicas, as both users run it, and the
// kinds that the experiments send to it.
inline constexpr double kShards = 10;
inline constexpr double kReplicas = 3;
inline constexpr double kSlots = 2;

// "index:..." for a service with the given time of one request.
std::string IndexService(std::chrono::microseconds service_time,
                         unsigned slots = 2,
                         unsigned connections = 25);
// A document with the service `index` and the kinds urgent-search (critical),
// snapshot-search, bulk-search (background) and record (non-idempotent).
std::string IndexDocument(std::chrono::microseconds service_time,
                          unsigned shards = 10,
                          unsigned replicas = 3,
                          unsigned slots = 2,
                          unsigned connections = 25);

// Queries a second that the searchers can execute at most.
double CapacityOf(std::chrono::microseconds service_time,
                  unsigned replicas = 3,
                  unsigned slots = 2);

LoadKind Search(const std::string& kind, double rate);

bool IsComplete(const LoadSample& sample);

// Runs `action` on another thread after `delay`; joins at the latest when
// destroyed.
class DelayedAction {
 public:
  DelayedAction(std::chrono::milliseconds delay, std::function<void()> action)
      : thread_([delay, action = std::move(action)] {
          std::this_thread::sleep_for(delay);
          action();
        }) {}
  ~DelayedAction() { Join(); }

  void Join() {
    if (thread_.joinable())
      thread_.join();
  }

 private:
  std::thread thread_;
};

// Samples that were due in the half-open interval.
std::vector<LoadSample> DueBetween(const std::vector<LoadSample>& samples,
                                   std::chrono::milliseconds from,
                                   std::chrono::milliseconds to);

}  // namespace jujubecove::bench
