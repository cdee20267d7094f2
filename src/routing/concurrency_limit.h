#pragma once

#include <cstdint>

#include "base/units.h"

namespace jujubecove {

// This daemon's concurrency limit for one searcher (AIMD), with a slow start
// for a searcher that is new, was cold or was unreachable.
class ConcurrencyLimit {
 public:
  // `daemons` is the number of daemons that share the searcher's slots.
  void Configure(std::uint32_t slots, std::size_t daemons);

  void RestartSlowStart();
  // Restarts the slow start and backs off until the searcher has had time to
  // warm up.
  void OnCold(TimePoint now);
  // The searcher refused a request because of load. Requests sent before the
  // last decrease do not decrease the limit again.
  void OnBusy(TimePoint sent, TimePoint now);
  // `in_flight` includes the request that succeeded.
  void OnSuccess(std::uint32_t in_flight);

  // At least 1.
  std::uint32_t limit() const { return static_cast<std::uint32_t>(limit_); }
  bool IsBackingOff(TimePoint now) const { return now < backoff_until_; }
  std::uint32_t slots() const { return slots_; }
  bool in_slow_start() const { return limit_ < slow_start_threshold_; }

 private:
  double limit_ = 1;
  // The slow start ends at this limit.
  double slow_start_threshold_ = 1;
  double max_limit_ = 2;
  std::uint32_t slots_ = 1;
  TimePoint decreased_at_{Duration::min()};
  TimePoint backoff_until_{Duration::min()};
};

}  // namespace jujubecove
