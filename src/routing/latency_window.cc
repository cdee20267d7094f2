#include "routing/latency_window.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace jujubecove {
namespace {

constexpr double kSlowFactor = 2;
// Time constants with which the logarithm of the baseline follows that of the
// recent median. Rising, a service that stays 5 times slower counts as slow for
// ln(ln 5 / ln 2) x 300 s, about 4 minutes. Falling is faster, so that a daemon
// started during a slowdown soon finds the normal latency.
constexpr double kRiseTimeConstantS = 300;
constexpr double kFallTimeConstantS = 15;
// A longer gap between replies counts as this: time without replies is no
// evidence of a lasting change.
constexpr double kMaxGapS = 5;

}  // namespace

void LatencyWindow::Add(Duration latency, TimePoint now) {
  recent_[next_] = std::max<std::int64_t>(latency.count(), 1);
  next_ = (next_ + 1) % kWindowSize;
  ++count_;
  if (count_ % kRepliesPerRefresh == 0)
    Refresh(now);
}

Duration LatencyWindow::LongRunMedian() const {
  return Duration(
      has_baseline_ ? static_cast<std::int64_t>(std::exp(baseline_log_)) : 0);
}

void LatencyWindow::Refresh(TimePoint now) {
  std::size_t n = std::min<std::uint64_t>(count_, kWindowSize);
  std::array<std::int64_t, kWindowSize> sorted = recent_;
  auto begin = sorted.begin();
  auto end = begin + static_cast<std::ptrdiff_t>(n);
  auto middle = begin + static_cast<std::ptrdiff_t>(n / 2);
  std::nth_element(begin, middle, end);
  median_ = *middle;
  auto p95 = begin + static_cast<std::ptrdiff_t>(n * 95 / 100);
  if (p95 > middle)
    std::nth_element(middle, p95, end);
  p95_ = *p95;
  if (HasEnoughSamples())
    UpdateBaseline(now);
}

void LatencyWindow::UpdateBaseline(TimePoint now) {
  double recent = std::log(static_cast<double>(median_));
  if (!has_baseline_) {
    baseline_log_ = recent;
    baseline_updated_at_ = now;
    has_baseline_ = true;
  }
  double seconds = std::min(
      std::chrono::duration<double>(now - baseline_updated_at_).count(),
      kMaxGapS);
  double time_constant_s =
      recent > baseline_log_ ? kRiseTimeConstantS : kFallTimeConstantS;
  baseline_log_ +=
      (recent - baseline_log_) * (1 - std::exp(-seconds / time_constant_s));
  baseline_updated_at_ = now;
  slow_ = recent - baseline_log_ > std::log(kSlowFactor);
}

}  // namespace jujubecove
