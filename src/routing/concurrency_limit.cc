#include "routing/concurrency_limit.h"

#include <algorithm>
#include <cstddef>

namespace jujubecove {
namespace {

// Twice the fair share of the slots: the daemons' loads are uneven, and a
// searcher with one request waiting for each slot is never idle.
constexpr double kSharesAtStart = 2;
// More requests than this for each slot only wait at the searcher.
constexpr double kCeilingPerSlot = 2;
constexpr double kDecrease = 0.7;
constexpr Duration kColdPause{200'000};
constexpr std::uint32_t kSlotsBound = 4096;

}  // namespace

void ConcurrencyLimit::Configure(std::uint32_t slots, std::size_t daemons) {
  slots_ = std::clamp<std::uint32_t>(slots, 1, kSlotsBound);
  double share = kSharesAtStart * slots_ /
                 static_cast<double>(std::max<std::size_t>(daemons, 1));
  ceiling_ = kCeilingPerSlot * slots_;
  threshold_ = std::clamp(share, 1.0, ceiling_);
  limit_ = std::min(limit_, ceiling_);
}

void ConcurrencyLimit::Restart() {
  limit_ = 1;
}

void ConcurrencyLimit::OnCold(TimePoint now) {
  Restart();
  resume_at_ = now + kColdPause;
}

void ConcurrencyLimit::OnBusy(TimePoint sent, TimePoint now) {
  if (sent <= decreased_at_)
    return;
  limit_ = std::max(1.0, limit_ * kDecrease);
  threshold_ = limit_;
  decreased_at_ = now;
}

void ConcurrencyLimit::OnSuccess(std::uint32_t in_flight) {
  // A limit that is not used says nothing of whether more would be accepted.
  if (in_flight < limit())
    return;
  double step = in_slow_start() ? 1.0 : 1.0 / limit_;
  limit_ = std::min(ceiling_, limit_ + step);
}

}  // namespace jujubecove
