#pragma once

#include <cstdint>

#include "base/units.h"

namespace jujubecove {

// Statistics of one searcher from this daemon's own attempts, and the load that
// the searcher reports.
class SearcherStats {
 public:
  void ObserveSuccess(Duration latency, TimePoint now);
  // An attempt ended unanswered after `elapsed`, a lower bound of its latency.
  void ObserveLatencyAtLeast(Duration elapsed, TimePoint now);
  // An attempt ended unanswered after its peers would have answered.
  void CountUnanswered() { ++consecutive_unanswered_; }
  void ObserveFailure(TimePoint now);
  // `other_load` is the reported load without this daemon's own requests.
  void ObserveReportedLoad(double other_load, TimePoint now);
  // Lowers the trust in the reported load if it contradicts the observed
  // latency, else raises it. `peer_latency` is the median of the searcher's
  // peers in microseconds.
  void UpdateReportTrust(double peer_latency,
                         std::uint32_t slots,
                         TimePoint now);
  // Discards the latency at the end of an ejection, since the searcher may have
  // been replaced.
  void ResetLatency();

  // Smoothed latency in microseconds; 0 without samples.
  double latency() const { return latency_; }
  std::uint32_t samples() const { return samples_; }
  double failure_rate() const { return failure_rate_; }
  std::uint32_t consecutive_failures() const { return consecutive_failures_; }
  // Late unanswered attempts since the last successful reply.
  std::uint32_t consecutive_unanswered() const {
    return consecutive_unanswered_;
  }
  TimePoint last_observed() const { return last_observed_; }
  // Estimated load from other clients: the reported load, capped at `slots` and
  // weighted by its age and the trust in the reports.
  double DiscountedLoad(std::uint32_t slots, TimePoint now) const;

 private:
  void UpdateLatency(double value, TimePoint now);

  double latency_ = 0;
  double failure_rate_ = 0;
  double reported_load_ = 0;
  double report_trust_ = 1;
  std::uint32_t samples_ = 0;
  std::uint32_t consecutive_failures_ = 0;
  std::uint32_t consecutive_unanswered_ = 0;
  TimePoint last_observed_{};
  TimePoint reported_at_{};
  bool has_report_ = false;
};

}  // namespace jujubecove
