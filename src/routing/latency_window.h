#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "base/units.h"

namespace jujubecove {

// Latencies of the replies of one service: quantiles of the latest replies, and
// a median over minutes with which they are compared.
class LatencyWindow {
 public:
  // Replies that must have been seen before anything is concluded.
  static constexpr std::size_t kEnough = 32;

  void Add(Duration latency, TimePoint now);

  bool HasEnough() const { return count_ >= kEnough; }
  Duration RecentMedian() const { return Duration(median_); }
  Duration Recent95th() const { return Duration(p95_); }
  Duration LongRunMedian() const;
  // Whether the service as a whole is slow: the recent median is over twice the
  // long-run median.
  bool IsSlow() const { return slow_; }

 private:
  // Half of it, 32 replies, is a third of one fan-out at the design size, so a
  // slowdown shows within the first replies that it delays.
  static constexpr std::size_t kRecent = 64;
  static constexpr std::size_t kRefreshEvery = 8;

  void Refresh(TimePoint now);
  void FollowBaseline(TimePoint now);

  std::array<std::int64_t, kRecent> recent_{};
  std::size_t next_ = 0;
  std::uint64_t count_ = 0;
  std::int64_t median_ = 0;
  std::int64_t p95_ = 0;
  // Logarithm of the long-run median in microseconds.
  double baseline_log_ = 0;
  TimePoint baseline_at_{};
  bool has_baseline_ = false;
  bool slow_ = false;
};

}  // namespace jujubecove
