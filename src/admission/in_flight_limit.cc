#include "admission/in_flight_limit.h"

#include <algorithm>

namespace jujubecove {
namespace {

constexpr double kDecrease = 0.85;
// The document's figures may understate a service, but hardly by more.
constexpr double kMostTimesStart = 4;

}  // namespace

void InFlightLimit::Configure(double start) {
  start = std::max(1.0, start);
  if (start_ > 0)
    limit_ = std::max(1.0, limit_ * start / start_);
  else
    limit_ = start;
  start_ = start;
}

void InFlightLimit::OnFinished(std::size_t in_flight,
                               Congestion congestion,
                               TimePoint admitted,
                               TimePoint now) {
  bool above_start = limit_ > start_;
  if (congestion == Congestion::kRefused ||
      (congestion == Congestion::kSlow && above_start)) {
    // Queries admitted before the last decrease met the same congestion.
    if (admitted <= decreased_at_)
      return;
    double floor = congestion == Congestion::kSlow ? start_ : 1.0;
    limit_ = std::max(floor, limit_ * kDecrease);
    decreased_at_ = now;
    return;
  }
  // A limit that is not used says nothing of whether more would be served.
  if (in_flight < limit())
    return;
  limit_ = std::min(limit_ + 1 / limit_, start_ * kMostTimesStart);
}

}  // namespace jujubecove
