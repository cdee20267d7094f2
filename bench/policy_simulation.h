#pragma once

#include <cstddef>
#include <cstdint>

#include "base/units.h"

namespace jujubecove {

// How a simulated daemon selects a replica.
enum class ChoicePolicy : std::uint8_t {
  kRandom,
  kRoundRobin,
  kTwoChoices,
  kLeastOutstanding,
  kRouter,
};

// When a simulated daemon sends a hedge.
enum class HedgePolicy : std::uint8_t {
  kNone,
  // After twice the mean service time, without a budget.
  kFixedDelay,
  // After the recent 95th percentile, without a budget.
  kQuantile,
  // After the router's hedge delay, within its retry budget.
  kRouter,
};

// Settings of a simulation of daemons and searchers on a fake clock.
struct SimulationOptions {
  ChoicePolicy choice = ChoicePolicy::kRouter;
  HedgePolicy hedge = HedgePolicy::kRouter;
  std::size_t daemons = 4;
  std::size_t shards = 10;
  std::size_t replicas = 3;
  std::uint32_t slots = 2;
  // Mean of the log-normal service time.
  Duration service_time{6'000};
  // Utilization of the slots of a healthy fleet.
  double load = 0.3;
  // Factor on the service time of the last replica of each shard from
  // fault_start on.
  double straggler_slowdown = 1;
  // Factor on the service time of every searcher from fault_start on.
  double all_slowdown = 1;
  Duration fault_start{5'000'000};
  // Queries sent before this time are not counted.
  Duration measure_start{10'000'000};
  Duration measure_duration{60'000'000};
  std::uint64_t seed = 1;
};

struct SimulationResult {
  std::size_t queries = 0;
  std::size_t incomplete = 0;
  Duration median{};
  Duration p99{};
  std::size_t first_attempts = 0;
  // Retries and hedges.
  std::size_t extra_attempts = 0;
  // Share of the queries with an attempt sent to a straggler.
  double met_straggler = 0;

  double extra_share() const {
    return first_attempts == 0 ? 0
                               : static_cast<double>(extra_attempts) /
                                     static_cast<double>(first_attempts);
  }
};

SimulationResult Simulate(const SimulationOptions& options);

}  // namespace jujubecove
