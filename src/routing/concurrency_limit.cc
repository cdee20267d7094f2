#include "routing/concurrency_limit.h"

#include <algorithm>
#include <cstddef>

namespace jujubecove {
namespace {

// The slow start ends at twice the fair share of the slots: the daemons' loads
// are uneven, and a searcher with one request waiting per slot is never idle.
constexpr double kFairShareFactor = 2;
// More requests than this per slot would only queue at the searcher.
constexpr double kMaxPerSlot = 2;
constexpr double kDecreaseFactor = 0.7;
constexpr Duration kColdBackoff{200'000};
constexpr std::uint32_t kMaxSlots = 4096;

}  // namespace

void ConcurrencyLimit::Configure(std::uint32_t slots, std::size_t daemons) {
  slots_ = std::clamp<std::uint32_t>(slots, 1, kMaxSlots);
  double share = kFairShareFactor * slots_ /
                 static_cast<double>(std::max<std::size_t>(daemons, 1));
  max_limit_ = kMaxPerSlot * slots_;
  slow_start_threshold_ = std::clamp(share, 1.0, max_limit_);
  limit_ = std::min(limit_, max_limit_);
}

void ConcurrencyLimit::RestartSlowStart() {
  limit_ = 1;
}

void ConcurrencyLimit::OnCold(TimePoint now) {
  RestartSlowStart();
  backoff_until_ = now + kColdBackoff;
}

void ConcurrencyLimit::OnBusy(TimePoint sent, TimePoint now) {
  if (sent <= decreased_at_)
    return;
  limit_ = std::max(1.0, limit_ * kDecreaseFactor);
  slow_start_threshold_ = limit_;
  decreased_at_ = now;
}

void ConcurrencyLimit::OnSuccess(std::uint32_t in_flight) {
  // Grow only while the limit is reached; otherwise it is not known whether the
  // searcher would accept more.
  if (in_flight < limit())
    return;
  double step = in_slow_start() ? 1.0 : 1.0 / limit_;
  limit_ = std::min(max_limit_, limit_ + step);
}

}  // namespace jujubecove
