#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "base/units.h"

namespace jujubecove {

// Reply latencies of one service: quantiles of the latest replies, and a
// long-run median as the baseline for detecting a slowdown.
class LatencyWindow {
 public:
  // Replies needed before the quantiles are used.
  static constexpr std::size_t kMinSamples = 32;

  void Add(Duration latency, TimePoint now);

  bool HasEnoughSamples() const { return count_ >= kMinSamples; }
  Duration RecentMedian() const { return Duration(median_); }
  Duration RecentP95() const { return Duration(p95_); }
  Duration LongRunMedian() const;
  // Whether the service as a whole is slow: the recent median is over twice the
  // long-run median.
  bool IsSlow() const { return slow_; }

 private:
  // A slowdown shows once half of the window, 32 replies, is slow. That is a
  // third of one fan-out at the design size.
  static constexpr std::size_t kWindowSize = 64;
  static constexpr std::size_t kRepliesPerRefresh = 8;

  void Refresh(TimePoint now);
  void UpdateBaseline(TimePoint now);

  std::array<std::int64_t, kWindowSize> recent_{};
  std::size_t next_ = 0;
  std::uint64_t count_ = 0;
  std::int64_t median_ = 0;
  std::int64_t p95_ = 0;
  // Logarithm of the long-run median in microseconds.
  double baseline_log_ = 0;
  TimePoint baseline_updated_at_{};
  bool has_baseline_ = false;
  bool slow_ = false;
};

}  // namespace jujubecove
