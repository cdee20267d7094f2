#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "base/units.h"

namespace jujubecove {

// Bounds of the repeats (retries and hedges) that all entry daemons together
// may send to one service within a sliding window.
struct RetryBudgetOptions {
  double ratio = 0.2;
  double slack = 0.0;
  Duration window = std::chrono::seconds(10);
};

// One daemon's part of a service's repeat budget: the ratio of its own
// requests, and an equal share of the slack.
class FleetRetryBudget {
 public:
  // `process_start` is when this daemon started.
  FleetRetryBudget(const RetryBudgetOptions& options, TimePoint process_start);

  // A request for the service has come; its first attempt is no repeat.
  void CountRequest(TimePoint now);
  // Takes one repeat if it fits. A hedge leaves a reserve for retries after a
  // failure.
  bool TryTakeRetry(TimePoint now);
  bool TryTakeHedge(TimePoint now);
  // Gives back a repeat that never reached a searcher.
  void Return();

  void set_options(const RetryBudgetOptions& options) { options_ = options; }
  void set_fleet_size(int size) { fleet_size_ = size; }
  double available(TimePoint now);

 private:
  static constexpr std::size_t kSlices = 20;
  struct Slice {
    std::int64_t number = -1;
    std::uint32_t requests = 0;
    std::uint32_t repeats = 0;
  };

  struct Spent {
    double requests = 0.0;
    double repeats = 0.0;
    double latest_repeats = 0.0;
  };

  Slice& Current(TimePoint now);
  Spent SpentBy(TimePoint now);
  bool TryTake(TimePoint now, double reserve_share);
  double SlackShare(TimePoint now) const;

  RetryBudgetOptions options_;
  TimePoint process_start_;
  int fleet_size_ = 1;
  // One slice more than the window, so that the oldest one counts whole.
  std::array<Slice, kSlices + 1> slices_{};
  std::size_t last_ = 0;
};

}  // namespace jujubecove
