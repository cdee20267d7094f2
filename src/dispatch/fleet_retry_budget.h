#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "base/units.h"

namespace jujubecove {

// Limit on the extra attempts (retries and hedges) that all entry daemons
// together may send to one service within a sliding window: `ratio` times its
// requests plus `slack`.
struct RetryBudgetOptions {
  double ratio = 0.2;
  double slack = 0.0;
  Duration window = std::chrono::seconds(10);
};

// This daemon's share of a service's retry budget: the ratio of its own
// requests plus an equal share of the slack.
class FleetRetryBudget {
 public:
  FleetRetryBudget(const RetryBudgetOptions& options, TimePoint process_start);

  // Counts a request with its first attempt.
  void CountRequest(TimePoint now);
  // Take one extra attempt if the budget allows it. Hedges leave a reserve for
  // retries.
  bool TryTakeRetry(TimePoint now);
  bool TryTakeHedge(TimePoint now);
  // Returns an extra attempt that was not sent.
  void Refund();

  void set_options(const RetryBudgetOptions& options) { options_ = options; }
  void set_fleet_size(int size) { fleet_size_ = size; }
  double available(TimePoint now);

 private:
  static constexpr std::size_t kSlicesPerWindow = 20;
  struct Slice {
    std::int64_t number = -1;
    std::uint32_t requests = 0;
    std::uint32_t extra_attempts = 0;
  };

  struct WindowUsage {
    double requests = 0.0;
    double extra_attempts = 0.0;
    double recent_extra_attempts = 0.0;
  };

  Slice& CurrentSlice(TimePoint now);
  WindowUsage UsageAt(TimePoint now);
  bool TryTake(TimePoint now, double reserve_share);
  double SlackShare(TimePoint now) const;

  RetryBudgetOptions options_;
  TimePoint process_start_;
  int fleet_size_ = 1;
  // One slice more than the window, since the oldest one counts in full until
  // it has left the window completely.
  std::array<Slice, kSlicesPerWindow + 1> slices_{};
  std::size_t current_index_ = 0;
};

}  // namespace jujubecove
