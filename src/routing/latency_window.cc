#include "routing/latency_window.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace jujubecove {
namespace {

constexpr double kSlowFactor = 2;
// The logarithm of the baseline approaches that of the recent median with these
// time constants. Upwards, a service that stays 5 times slower counts as slow
// for ln(ln 5 / ln 2) x 300 s, about 4 minutes; downwards it is quick, so that
// a daemon started during a slowdown soon learns the usual latency.
constexpr double kRiseSeconds = 300;
constexpr double kFallSeconds = 15;
// Time without replies is no evidence of a lasting change.
constexpr double kLongestGapSeconds = 5;

}  // namespace

void LatencyWindow::Add(Duration latency, TimePoint now) {
  recent_[next_] = std::max<std::int64_t>(latency.count(), 1);
  next_ = (next_ + 1) % kRecent;
  ++count_;
  if (count_ % kRefreshEvery == 0)
    Refresh(now);
}

Duration LatencyWindow::LongRunMedian() const {
  return Duration(
      has_baseline_ ? static_cast<std::int64_t>(std::exp(baseline_log_)) : 0);
}

void LatencyWindow::Refresh(TimePoint now) {
  std::size_t n = std::min<std::uint64_t>(count_, kRecent);
  std::array<std::int64_t, kRecent> sorted = recent_;
  auto begin = sorted.begin();
  auto end = begin + static_cast<std::ptrdiff_t>(n);
  auto middle = begin + static_cast<std::ptrdiff_t>(n / 2);
  std::nth_element(begin, middle, end);
  median_ = *middle;
  auto high = begin + static_cast<std::ptrdiff_t>(n * 95 / 100);
  if (high > middle)
    std::nth_element(middle, high, end);
  p95_ = *high;
  if (HasEnough())
    FollowBaseline(now);
}

void LatencyWindow::FollowBaseline(TimePoint now) {
  double recent = std::log(static_cast<double>(median_));
  if (!has_baseline_) {
    baseline_log_ = recent;
    baseline_at_ = now;
    has_baseline_ = true;
  }
  double seconds =
      std::min(std::chrono::duration<double>(now - baseline_at_).count(),
               kLongestGapSeconds);
  double constant = recent > baseline_log_ ? kRiseSeconds : kFallSeconds;
  baseline_log_ +=
      (recent - baseline_log_) * (1 - std::exp(-seconds / constant));
  baseline_at_ = now;
  slow_ = recent - baseline_log_ > std::log(kSlowFactor);
}

}  // namespace jujubecove
