#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>

#include "tests/unit/admission/simulated_service.h"

namespace jujubecove {
namespace {

OverloadResult RunAtLoad(double load, OverloadOptions options = {}) {
  options.load = load;
  OverloadResult result = SimulatedService(options).Run();
  std::printf(
      "overload policy=%s slots=%u/%u load=%.1f urgent=%zu answered=%zu "
      "urgent_p99_ms=%.1f all_answered=%zu refused=%zu late=%zu\n",
      options.policy == AdmissionPolicy::kNone ? "none" : "queue",
      options.slots, options.declared_slots, load, result.urgent,
      result.urgent_answered, ToMilliseconds(result.urgent_p99),
      result.answered, result.refused, result.late);
  return result;
}

void ExpectBounds(const OverloadOptions& options) {
  std::size_t best = 0;
  for (double load : {0.7, 0.8, 0.9})
    best = std::max(best, RunAtLoad(load, options).answered);
  OverloadResult result = RunAtLoad(3, options);
  EXPECT_GE(result.urgent_answered * 1000, result.urgent * 999);
  EXPECT_LE(result.urgent_p99, Duration(250'000));
  EXPECT_GE(result.answered * 10, best * 9);
}

// Guards against late urgent queries and a collapse of goodput at three times
// the capacity.
TEST(OverloadTest, KeepsUrgentQueriesAndGoodputAtThreeTimesCapacity) {
  for (std::uint64_t seed : {1, 2, 3}) {
    OverloadOptions options;
    options.seed = seed;
    ExpectBounds(options);
  }
}

// Guards against a limit that stays at the document's slots when the service
// has half or twice as many.
TEST(OverloadTest, LimitAdaptsToActualCapacity) {
  OverloadOptions fewer;
  fewer.declared_slots = 4;
  ExpectBounds(fewer);
  OverloadOptions more;
  more.declared_slots = 1;
  ExpectBounds(more);
}

// Guards against a limit that depends on the latency in the document.
TEST(OverloadTest, KeepsBoundsWithWrongDocumentLatency) {
  OverloadOptions lower;
  lower.declared_latency_factor = 0.1;
  ExpectBounds(lower);
  OverloadOptions higher;
  higher.declared_latency_factor = 10;
  ExpectBounds(higher);
}

// Guards against a simulation in which the bounds hold even without admission
// control.
TEST(OverloadTest, UrgentQueriesMissDeadlinesWithoutAdmission) {
  OverloadOptions options;
  options.policy = AdmissionPolicy::kNone;
  OverloadResult result = RunAtLoad(3, options);
  EXPECT_LT(result.urgent_answered * 10, result.urgent * 9);
}

}  // namespace
}  // namespace jujubecove
