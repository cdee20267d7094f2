#include "routing/searcher_stats.h"

#include <algorithm>

namespace jujubecove {
namespace {

// A single reply that is 20 times slower than usual moves the average past the
// outlier threshold; one that is 10 times slower does not.
constexpr double kLatencyWeight = 0.2;
// After this long without observations, the next one gets more weight.
constexpr Duration kStaleAfter{10'000'000};
constexpr double kStaleWeight = 0.5;
constexpr double kFailureWeight = 0.1;
// A report counts for at most half of an own observation, and not at all once
// it is this old.
constexpr double kReportWeight = 0.5;
constexpr Duration kReportLifetime{2'000'000};
constexpr double kTrustLoss = 0.8;
constexpr double kTrustGain = 0.02;
// A searcher that reports a queue should be slower than the first multiple of
// its peers' latency, one that reports to be idle faster than the second.
constexpr double kMinQueueSlowdown = 1.5;
constexpr double kMaxIdleSlowdown = 3;

}  // namespace

void SearcherStats::UpdateLatency(double value, TimePoint now) {
  double weight = kLatencyWeight;
  if (samples_ > 0 && now - last_observed_ > kStaleAfter)
    weight = kStaleWeight;
  weight = std::max(weight, 1.0 / (samples_ + 1.0));
  latency_ += weight * (value - latency_);
  ++samples_;
  last_observed_ = now;
}

void SearcherStats::ObserveSuccess(Duration latency, TimePoint now) {
  UpdateLatency(static_cast<double>(latency.count()), now);
  failure_rate_ -= kFailureWeight * failure_rate_;
  consecutive_failures_ = 0;
  consecutive_unanswered_ = 0;
}

void SearcherStats::ObserveLatencyAtLeast(Duration elapsed, TimePoint now) {
  double value = static_cast<double>(elapsed.count());
  if (value > latency_)
    UpdateLatency(value, now);
}

void SearcherStats::ObserveFailure(TimePoint now) {
  failure_rate_ += kFailureWeight * (1 - failure_rate_);
  ++consecutive_failures_;
  last_observed_ = now;
}

void SearcherStats::ObserveReportedLoad(double other_load, TimePoint now) {
  reported_load_ = std::max(0.0, other_load);
  reported_at_ = now;
  has_report_ = true;
}

void SearcherStats::UpdateReportTrust(double peer_latency,
                                      std::uint32_t slots,
                                      TimePoint now) {
  if (!has_report_ || peer_latency <= 0 || samples_ == 0 ||
      now - reported_at_ > kReportLifetime)
    return;
  bool reports_queue = reported_load_ > slots;
  bool reports_idle = reported_load_ < 1;
  bool contradicted =
      (reports_queue && latency_ < kMinQueueSlowdown * peer_latency) ||
      (reports_idle && latency_ > kMaxIdleSlowdown * peer_latency);
  report_trust_ = contradicted ? report_trust_ * kTrustLoss
                               : std::min(1.0, report_trust_ + kTrustGain);
}

void SearcherStats::ResetLatency() {
  latency_ = 0;
  samples_ = 0;
  consecutive_unanswered_ = 0;
}

double SearcherStats::DiscountedLoad(std::uint32_t slots, TimePoint now) const {
  if (!has_report_)
    return 0;
  Duration age = now - reported_at_;
  if (age >= kReportLifetime)
    return 0;
  double freshness = 1 - static_cast<double>(age.count()) /
                             static_cast<double>(kReportLifetime.count());
  double load = std::min(reported_load_, static_cast<double>(slots));
  return kReportWeight * report_trust_ * freshness * load;
}

}  // namespace jujubecove
