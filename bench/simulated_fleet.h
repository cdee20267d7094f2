#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <random>
#include <unordered_map>
#include <vector>

#include "base/random.h"
#include "kernel/timer_service.h"
#include "upstream/upstream_transport.h"

namespace jujubecove {

// Simulated searchers on a fake clock, each with slots, a bounded queue and a
// log-normal service time.
class SimulatedFleet {
 public:
  using ReplyHandler = std::function<void(std::uint64_t attempt,
                                          AttemptOutcome outcome,
                                          Duration latency,
                                          std::uint32_t in_flight)>;

  SimulatedFleet(TimerService& timers,
                 std::size_t searchers,
                 std::uint32_t slots,
                 Duration service_time,
                 std::uint64_t seed);

  void SetReplyHandler(ReplyHandler handler) { reply_ = std::move(handler); }
  void SetSlowdown(std::size_t searcher, double slowdown) {
    searchers_[searcher].slowdown = slowdown;
  }
  void Send(std::uint64_t attempt, std::size_t searcher);
  void Cancel(std::uint64_t attempt);

 private:
  struct SearcherState {
    double slowdown = 1;
    std::uint32_t running = 0;
    std::deque<std::uint64_t> queue;
  };
  struct Attempt {
    std::size_t searcher = 0;
    TimePoint sent;
    bool running = false;
    TimerId timer;
  };

  void Execute(std::uint64_t attempt);
  void Finish(std::uint64_t attempt, AttemptOutcome outcome);

  TimerService& timers_;
  RandomEngine random_;
  std::uint32_t slots_;
  std::lognormal_distribution<double> service_time_;
  std::vector<SearcherState> searchers_;
  std::unordered_map<std::uint64_t, Attempt> attempts_;
  ReplyHandler reply_;
};

}  // namespace jujubecove
