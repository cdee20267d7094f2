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

// A service of ten shards with three replicas, the shape in both files of
// samples/, and the kinds that the experiments send to it.
inline constexpr double kShards = 10;
inline constexpr double kReplicas = 3;
inline constexpr double kSlots = 2;

// The --services entry of the service `index` with the given service time.
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

// Maximum rate of the searchers in queries per second.
double MaxQueryRate(std::chrono::microseconds service_time,
                    unsigned replicas = 3,
                    unsigned slots = 2);

LoadKind SearchLoad(const std::string& kind, double rate);

bool IsComplete(const LoadSample& sample);

// Runs `action` on another thread after `delay`; the destructor joins the
// thread.
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

// The samples that were due in [from, to).
std::vector<LoadSample> DueBetween(const std::vector<LoadSample>& samples,
                                   std::chrono::milliseconds from,
                                   std::chrono::milliseconds to);

}  // namespace jujubecove::bench
