#pragma once

#include <cstdint>

#include "base/units.h"

namespace jujubecove {

// What this daemon has observed of one searcher, and the load that the searcher
// reports.
class SearcherStats {
 public:
  // A reply with a result.
  void ObserveSuccess(Duration latency, TimePoint now);
  // An attempt that ended without a reply after `elapsed`: its latency would
  // have been at least that.
  void ObserveAtLeast(Duration elapsed, TimePoint now);
  // An attempt was given up that its peers would have answered by then.
  void CountUnanswered() { ++unanswered_streak_; }
  void ObserveFailure(TimePoint now);
  // `others` is the load beyond this daemon's own requests.
  void ObserveReportedLoad(double others, TimePoint now);
  // Compares the reported load with the latest latency; `peer_latency` is the
  // median of the searcher's peers in microseconds.
  void CheckReport(double peer_latency, std::uint32_t slots, TimePoint now);
  // Forgets the latency; for a searcher that may have been replaced.
  void ResetLatency();

  // Smoothed latency in microseconds; zero when nothing was observed.
  double latency() const { return latency_; }
  std::uint32_t samples() const { return samples_; }
  double failure_rate() const { return failure_rate_; }
  std::uint32_t failure_streak() const { return failure_streak_; }
  // Attempts given up since the last reply.
  std::uint32_t unanswered_streak() const { return unanswered_streak_; }
  TimePoint last_observed() const { return last_observed_; }
  // Load of others to assume: the report weighted by its age and by how far own
  // observations bear it out, at most `slots`.
  double DiscountedLoad(std::uint32_t slots, TimePoint now) const;

 private:
  void Smooth(double value, TimePoint now);

  double latency_ = 0;
  double failure_rate_ = 0;
  double reported_load_ = 0;
  double report_trust_ = 1;
  std::uint32_t samples_ = 0;
  std::uint32_t failure_streak_ = 0;
  std::uint32_t unanswered_streak_ = 0;
  TimePoint last_observed_{};
  TimePoint reported_at_{};
  bool has_report_ = false;
};

}  // namespace jujubecove
