#include "admission/in_flight_limit.h"

#include <algorithm>

namespace jujubecove {
namespace {

constexpr double kDecreaseFactor = 0.85;
// The document may understate a service's capacity, but hardly by more.
constexpr double kMaxLimitFactor = 4;

}  // namespace

void InFlightLimit::Configure(double initial) {
  initial = std::max(1.0, initial);
  if (initial_ > 0)
    limit_ = std::max(1.0, limit_ * initial / initial_);
  else
    limit_ = initial;
  initial_ = initial;
}

void InFlightLimit::OnFinished(std::size_t in_flight,
                               Congestion congestion,
                               TimePoint admitted,
                               TimePoint now) {
  bool above_initial = limit_ > initial_;
  if (congestion == Congestion::kRefused ||
      (congestion == Congestion::kSlow && above_initial)) {
    // Queries admitted before the last decrease saw the same congestion.
    if (admitted <= decreased_at_)
      return;
    double floor = congestion == Congestion::kSlow ? initial_ : 1.0;
    limit_ = std::max(floor, limit_ * kDecreaseFactor);
    decreased_at_ = now;
    return;
  }
  // Grow only while the limit is reached; otherwise it is not known whether the
  // service could take more.
  if (in_flight < limit())
    return;
  limit_ = std::min(limit_ + 1 / limit_, initial_ * kMaxLimitFactor);
}

}  // namespace jujubecove
