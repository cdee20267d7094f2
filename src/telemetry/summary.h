#pragma once

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

namespace jujubecove {

// Quantiles, sum and count of observations. Only one thread may observe; any
// thread may read. The quantiles cover the latest 8,192 to 16,384 observations.
//
// The quantiles of the first 1,024 observations are exact. After that they are
// estimated with the extended P-square algorithm of Boost.Accumulators, which
// keeps 11 markers and has no error bound. On exponential, log-normal and
// uniform distributions the rank error is at most 0.005 for the quantiles 0.5
// and 0.9, and at most 0.002 for 0.99 and 0.999 (see summary_test.cc). The rank
// error is the difference between the quantile and the share of observations
// below its estimate. If the observations have distant modes, an estimate can
// lie between them.
class Summary {
 public:
  static constexpr std::array<double, 4> kQuantiles = {0.5, 0.9, 0.99, 0.999};

  Summary();
  ~Summary();

  void Observe(double value);

  // Takes an index into kQuantiles. NaN before the first observation.
  double QuantileAt(std::size_t index) const {
    return quantiles_[index].load(std::memory_order_relaxed);
  }
  double sum() const { return sum_.load(std::memory_order_relaxed); }
  std::uint64_t count() const { return count_.load(std::memory_order_relaxed); }

 private:
  class Window;

  void PublishExactQuantiles();

  // The next window starts when the reported one is half full and replaces it
  // when that is full.
  std::unique_ptr<Window> reported_window_;
  std::unique_ptr<Window> next_window_;
  // Sorted, for the exact quantiles.
  std::vector<double> first_observations_;
  std::array<std::atomic<double>, kQuantiles.size()> quantiles_;
  std::atomic<double> sum_{0.0};
  std::atomic<std::uint64_t> count_{0};
};

}  // namespace jujubecove
