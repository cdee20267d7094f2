#include "telemetry/summary.h"

#include <algorithm>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <cmath>
#include <limits>
#include <utility>

namespace jujubecove {
namespace {

namespace accumulators = boost::accumulators;

using QuantileEstimator = accumulators::accumulator_set<
    double,
    accumulators::stats<accumulators::tag::extended_p_square>>;

constexpr std::size_t kMaxExactObservations = 1'024;
constexpr std::size_t kWindowObservations = 8'192;

}  // namespace

class Summary::Window {
 public:
  void Observe(double value) {
    quantiles_(value);
    ++count_;
  }
  double QuantileAt(std::size_t index) const {
    return accumulators::extended_p_square(
        quantiles_)[static_cast<long>(index)];
  }
  std::size_t count() const { return count_; }

 private:
  QuantileEstimator quantiles_{accumulators::extended_p_square_probabilities =
                                   kQuantiles};
  std::size_t count_ = 0;
};

Summary::Summary() : reported_window_(std::make_unique<Window>()) {
  first_observations_.reserve(kMaxExactObservations);
  for (std::atomic<double>& quantile : quantiles_)
    quantile.store(std::numeric_limits<double>::quiet_NaN());
}

Summary::~Summary() = default;

void Summary::Observe(double value) {
  sum_.store(sum() + value, std::memory_order_relaxed);
  count_.store(count() + 1, std::memory_order_relaxed);
  reported_window_->Observe(value);
  if (next_window_)
    next_window_->Observe(value);
  if (reported_window_->count() >= kWindowObservations && !next_window_)
    next_window_ = std::make_unique<Window>();
  if (reported_window_->count() >= 2 * kWindowObservations) {
    reported_window_ = std::move(next_window_);
    next_window_ = std::make_unique<Window>();
  }
  if (first_observations_.size() < kMaxExactObservations) {
    first_observations_.insert(
        std::upper_bound(first_observations_.begin(), first_observations_.end(),
                         value),
        value);
    PublishExactQuantiles();
    return;
  }
  for (std::size_t n = 0; n < kQuantiles.size(); ++n)
    quantiles_[n].store(reported_window_->QuantileAt(n),
                        std::memory_order_relaxed);
}

void Summary::PublishExactQuantiles() {
  for (std::size_t n = 0; n < kQuantiles.size(); ++n) {
    double rank = std::ceil(kQuantiles[n] *
                            static_cast<double>(first_observations_.size()));
    quantiles_[n].store(first_observations_[static_cast<std::size_t>(rank) - 1],
                        std::memory_order_relaxed);
  }
}

}  // namespace jujubecove
