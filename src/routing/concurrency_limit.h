#pragma once

#include <cstdint>

#include "base/units.h"

namespace jujubecove {

// This daemon's limit of requests in flight at one searcher: additive increase,
// multiplicative decrease, with a slow start for a searcher that is new, was
// cold or was unreachable.
class ConcurrencyLimit {
 public:
  // `daemons` share the searcher's slots.
  void Configure(std::uint32_t slots, std::size_t daemons);

  // Begins the slow start again.
  void Restart();
  // As Restart, and asks for no request until the searcher has had time to warm
  // up.
  void OnCold(TimePoint now);
  // A request that was sent at `sent` was refused for load. Refusals of
  // requests that were sent before the last decrease count as the same event.
  void OnBusy(TimePoint sent, TimePoint now);
  // `in_flight` includes the request that succeeded.
  void OnSuccess(std::uint32_t in_flight);

  // At least 1.
  std::uint32_t limit() const { return static_cast<std::uint32_t>(limit_); }
  bool IsBackingOff(TimePoint now) const { return now < resume_at_; }
  std::uint32_t slots() const { return slots_; }
  bool in_slow_start() const { return limit_ < threshold_; }

 private:
  double limit_ = 1;
  // End of the slow start.
  double threshold_ = 1;
  double ceiling_ = 2;
  std::uint32_t slots_ = 1;
  TimePoint decreased_at_{Duration::min()};
  TimePoint resume_at_{Duration::min()};
};

}  // namespace jujubecove
