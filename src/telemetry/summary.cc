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

using Quantiles = accumulators::accumulator_set<
    double,
    accumulators::stats<accumulators::tag::extended_p_square>>;

constexpr std::size_t kExactObservations = 1'024;
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
  Quantiles quantiles_{accumulators::extended_p_square_probabilities =
                           kQuantiles};
  std::size_t count_ = 0;
};

Summary::Summary() : older_(std::make_unique<Window>()) {
  first_.reserve(kExactObservations);
  for (std::atomic<double>& quantile : quantiles_)
    quantile.store(std::numeric_limits<double>::quiet_NaN());
}

Summary::~Summary() = default;

void Summary::Observe(double value) {
  sum_.store(sum() + value, std::memory_order_relaxed);
  count_.store(count() + 1, std::memory_order_relaxed);
  older_->Observe(value);
  if (younger_)
    younger_->Observe(value);
  if (older_->count() >= kWindowObservations && !younger_)
    younger_ = std::make_unique<Window>();
  if (older_->count() >= 2 * kWindowObservations) {
    older_ = std::move(younger_);
    younger_ = std::make_unique<Window>();
  }
  if (first_.size() < kExactObservations) {
    first_.insert(std::upper_bound(first_.begin(), first_.end(), value), value);
    PublishExact();
    return;
  }
  for (std::size_t n = 0; n < kQuantiles.size(); ++n)
    quantiles_[n].store(older_->QuantileAt(n), std::memory_order_relaxed);
}

void Summary::PublishExact() {
  for (std::size_t n = 0; n < kQuantiles.size(); ++n) {
    double rank = std::ceil(kQuantiles[n] * static_cast<double>(first_.size()));
    quantiles_[n].store(first_[static_cast<std::size_t>(rank) - 1],
                        std::memory_order_relaxed);
  }
}

}  // namespace jujubecove
