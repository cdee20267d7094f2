#pragma once

#include <cstddef>
#include <cstdint>

#include "base/units.h"

namespace jujubecove {

// Whether one searcher is ejected from the choice, and when a single request
// may probe it again.
class OutlierEjection {
 public:
  // The period doubles with each ejection in a row.
  void Eject(TimePoint now);
  // Ends the ejection; the next one soon after starts from a longer period.
  void Lift(TimePoint now);

  bool ejected() const { return ejected_; }
  bool IsProbeDue(TimePoint now) const { return ejected_ && now >= probe_at_; }
  // A probe was chosen. Another is due after the present period, whether this
  // one is sent and answered or not.
  void BeginProbe(TimePoint now);
  bool probing() const { return probing_; }
  void EndProbe() { probing_ = false; }
  TimePoint probe_at() const { return probe_at_; }

 private:
  Duration Period() const;

  bool ejected_ = false;
  bool probing_ = false;
  std::uint32_t count_ = 0;
  TimePoint probe_at_{};
  TimePoint lifted_at_{};
};

// Limits the probes of one service to a share of its queries, so that known
// stragglers stay below the 99th percentile of the queries.
class ProbeBudget {
 public:
  // Called for each first attempt; a query makes one for each of `shards`.
  void OnFirstAttempt(std::size_t shards);
  bool HasToken() const { return tokens_ >= 1; }
  void Take() { tokens_ -= 1; }

 private:
  double tokens_ = 0;
};

}  // namespace jujubecove
