// Compares policies for replica choice, hedging and admission on a fake clock.
// The result depends only on the seed.
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <iterator>
#include <memory>
#include <string>

#include "bench/policy_simulation.h"
#include "bench/simple_admission.h"
#include "tests/unit/admission/simulated_service.h"

namespace jujubecove {
namespace {

struct Policy {
  const char* name;
  ChoicePolicy choice;
  HedgePolicy hedge;
};

constexpr Policy kPolicies[] = {
    {"random", ChoicePolicy::kRandom, HedgePolicy::kNone},
    {"round_robin", ChoicePolicy::kRoundRobin, HedgePolicy::kNone},
    {"two_choices", ChoicePolicy::kTwoChoices, HedgePolicy::kNone},
    {"least_outstanding", ChoicePolicy::kLeastOutstanding, HedgePolicy::kNone},
    {"least_outstanding_fixed_hedge", ChoicePolicy::kLeastOutstanding,
     HedgePolicy::kFixedDelay},
    {"router_no_hedge", ChoicePolicy::kRouter, HedgePolicy::kNone},
    {"router_fixed_hedge", ChoicePolicy::kRouter, HedgePolicy::kFixedDelay},
    {"router_quantile_hedge", ChoicePolicy::kRouter, HedgePolicy::kQuantile},
    {"router", ChoicePolicy::kRouter, HedgePolicy::kRouter},
};

bool passed = true;

void PrintCheck(const char* metric, double value, double bound) {
  bool ok = value <= bound;
  passed = passed && ok;
  std::printf("bench policy %s=%.4f target=%.4f %s\n", metric, value, bound,
              ok ? "ok" : "short");
}

void PrintRow(const std::string& name,
              const char* fault,
              const SimulationResult& result) {
  std::printf(
      "policy %-30s %-10s queries=%zu incomplete=%zu p50_ms=%.1f p99_ms=%.1f "
      "repeats=%.4f met_straggler=%.5f\n",
      name.c_str(), fault, result.queries, result.incomplete,
      ToMilliseconds(result.median), ToMilliseconds(result.p99),
      result.extra_share(), result.met_straggler);
}

void RunPolicy(const SimulationOptions& base, const Policy& policy) {
  SimulationOptions options = base;
  options.choice = policy.choice;
  options.hedge = policy.hedge;
  std::string name =
      std::string(policy.name) + "/" + std::to_string(options.shards);
  SimulationResult healthy = Simulate(options);
  PrintRow(name, "none", healthy);
  options.straggler_slowdown = 20;
  SimulationResult straggler = Simulate(options);
  PrintRow(name, "straggler", straggler);
  options.straggler_slowdown = 1;
  options.all_slowdown = 5;
  // Searchers five times slower at two fifths of the query rate have twice the
  // healthy utilization.
  options.load = 2 * base.load / 5;
  // Measures from the fault on, since hedging must stop immediately.
  options.measure_start = options.fault_start;
  SimulationResult slow = Simulate(options);
  PrintRow(name, "all_slow", slow);
  if (policy.choice != ChoicePolicy::kRouter ||
      policy.hedge != HedgePolicy::kRouter)
    return;
  std::string suffix = "_" + std::to_string(options.shards);
  PrintCheck(("straggler_p99_ratio" + suffix).c_str(),
             ToMilliseconds(straggler.p99) / ToMilliseconds(healthy.p99), 1.3);
  PrintCheck(("straggler_extra" + suffix).c_str(), straggler.extra_share(),
             0.05);
  PrintCheck(("met_straggler" + suffix).c_str(), straggler.met_straggler,
             1.0 / 500);
  PrintCheck(("all_slow_repeats" + suffix).c_str(), slow.extra_share(), 0.02);
}

void PrintOverload(const char* name, OverloadOptions options) {
  options.load = 3;
  OverloadResult result = SimulatedService(options).Run();
  std::printf(
      "overload %-16s urgent_answered=%.4f urgent_p99_ms=%.1f answered=%zu "
      "late=%zu\n",
      name,
      static_cast<double>(result.urgent_answered) /
          static_cast<double>(result.urgent),
      ToMilliseconds(result.urgent_p99), result.answered, result.late);
}

void CompareAdmission(std::uint64_t seed) {
  OverloadOptions options;
  options.seed = seed;
  PrintOverload("urgency", options);
  OverloadOptions fixed = options;
  fixed.feedback = false;
  PrintOverload("fixed_limit", fixed);
  OverloadOptions none = options;
  none.policy = AdmissionPolicy::kNone;
  PrintOverload("none", none);
  OverloadOptions simple = options;
  for (SimpleAdmission::Order order :
       {SimpleAdmission::Order::kFirstInFirstOut,
        SimpleAdmission::Order::kLastInFirstOut}) {
    simple.make_queue = [order](TimerService& timers) {
      return std::make_unique<SimpleAdmission>(timers, order);
    };
    PrintOverload(
        order == SimpleAdmission::Order::kFirstInFirstOut ? "fifo" : "lifo",
        simple);
  }
}

}  // namespace
}  // namespace jujubecove

int main(int argc, char** argv) {
  using namespace jujubecove;
  SimulationOptions small;
  if (argc > 1)
    small.seed = std::strtoull(argv[1], nullptr, 10);
  CompareAdmission(small.seed);
  for (const Policy& policy : kPolicies)
    RunPolicy(small, policy);
  SimulationOptions large = small;
  large.shards = 110;
  large.measure_duration = Duration(20'000'000);
  // A daemon may send its first attempt to one of the 110 stragglers late, so
  // the 440 pairs of daemon and straggler need a longer warm-up.
  large.measure_start = Duration(20'000'000);
  RunPolicy(large, kPolicies[0]);
  RunPolicy(large, kPolicies[std::size(kPolicies) - 1]);
  return passed ? 0 : 1;
}
