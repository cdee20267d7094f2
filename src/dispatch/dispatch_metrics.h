#pragma once

#include <array>
#include <cstdint>
#include <string>

#include "dispatch/forwarded_request.h"
#include "dispatch/searcher_transport.h"
#include "telemetry/metrics.h"

namespace jujubecove {

// Label of the request metrics. Requests of the kinds other than kScatter go to
// one searcher.
enum class RouteKind : std::uint8_t { kScatter, kIdempotent, kNonIdempotent };
inline constexpr int kRouteKindCount = 3;
std::string_view NameOf(RouteKind kind);

// Why a shard is missing from an answer.
enum class MissingCause : std::uint8_t {
  kNoSearcher,
  kFailed,
  kNotInTime,
  // An attempt failed and the retry budget did not allow a retry.
  kBudgetSpent,
};
inline constexpr int kMissingCauseCount = 4;
std::string_view NameOf(MissingCause cause);

inline constexpr int kAttemptResultCount =
    static_cast<int>(AttemptResult::kBroken) + 1;
std::string_view NameOf(AttemptResult result);

// Metrics of requests and of the attempts that were sent for them.
class DispatchMetrics {
 public:
  explicit DispatchMetrics(MetricsRegistry& registry);

  void CountAnswer(RouteKind kind,
                   const CallerAnswer& answer,
                   Duration took,
                   bool late);
  void CountAbandoned(RouteKind kind) {
    abandoned_[static_cast<std::size_t>(kind)]->Add();
  }
  void CountAttempt(AttemptResult result) {
    attempts_[static_cast<std::size_t>(result)]->Add();
  }
  void CountCancelled() { cancelled_->Add(); }
  void CountHedge() { hedges_->Add(); }
  void CountRetry() { retries_->Add(); }
  void CountBudgetDenied() { budget_denied_->Add(); }
  void CountMissingPart(MissingCause cause) {
    missing_[static_cast<std::size_t>(cause)]->Add();
  }

 private:
  // Indexed by route kind and error kind; the last index counts answers
  // without an error.
  std::array<std::array<Counter*, kErrorKindCount + 1>, kRouteKindCount>
      answers_{};
  std::array<Counter*, kRouteKindCount> late_{};
  std::array<Counter*, kRouteKindCount> partial_{};
  std::array<Counter*, kRouteKindCount> abandoned_{};
  std::array<Summary*, kRouteKindCount> latency_{};
  std::array<Counter*, kAttemptResultCount> attempts_{};
  std::array<Counter*, kMissingCauseCount> missing_{};
  Counter* cancelled_;
  Counter* hedges_;
  Counter* retries_;
  Counter* budget_denied_;
};

}  // namespace jujubecove
