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
  // The router.
  kRouter,
};

// When a simulated daemon sends a hedge.
enum class HedgePolicy : std::uint8_t {
  kNone,
  // After twice the usual service time, without a budget.
  kFixedDelay,
  // After the recent 95th percentile, without a budget.
  kQuantile,
  // The router's delay and budget.
  kRouter,
};

// A fleet of searchers and daemons on a fake clock.
struct SimulationOptions {
  ChoicePolicy choice = ChoicePolicy::kRouter;
  HedgePolicy hedge = HedgePolicy::kRouter;
  std::size_t daemons = 4;
  std::size_t shards = 10;
  std::size_t replicas = 3;
  std::uint32_t slots = 2;
  // Mean of a log-normal distribution.
  Duration service_time{6'000};
  // Share of the slots of a healthy fleet that the queries keep busy.
  double load = 0.3;
  // Factor by which the last replica of each shard is slower from the fault on.
  double straggler_factor = 1;
  // The same for every searcher.
  double all_factor = 1;
  Duration fault_after{5'000'000};
  // Queries sent before this are not counted.
  Duration measure_after{10'000'000};
  Duration measure_for{60'000'000};
  std::uint64_t seed = 1;
};

struct SimulationResult {
  std::size_t queries = 0;
  std::size_t incomplete = 0;
  Duration median{};
  Duration p99{};
  std::size_t first_attempts = 0;
  // Retries and hedges.
  std::size_t repeats = 0;
  // Share of the queries that were sent to a searcher which the fault slowed.
  double met_straggler = 0;

  double repeat_share() const {
    return first_attempts == 0 ? 0
                               : static_cast<double>(repeats) /
                                     static_cast<double>(first_attempts);
  }
};

SimulationResult Simulate(const SimulationOptions& options);

}  // namespace jujubecove
