#pragma once

#include <cstddef>
#include <cstdint>

#include "base/units.h"

namespace jujubecove {

// Ejection state of one searcher: whether it is ejected, and when the next
// probe may be sent to it.
class OutlierEjection {
 public:
  // Each further ejection in a row doubles the time until the next probe.
  void Eject(TimePoint now);
  // Ends the ejection. Another one soon after lasts longer.
  void Uneject(TimePoint now);

  bool ejected() const { return ejected_; }
  bool IsProbeDue(TimePoint now) const { return ejected_ && now >= probe_at_; }
  // A request was chosen as probe. The next probe is due after the current
  // period even if this one is never sent or answered.
  void BeginProbe(TimePoint now);
  bool probing() const { return probing_; }
  void EndProbe() { probing_ = false; }
  TimePoint probe_at() const { return probe_at_; }

 private:
  Duration Period() const;

  bool ejected_ = false;
  bool probing_ = false;
  std::uint32_t consecutive_ejections_ = 0;
  TimePoint probe_at_{};
  TimePoint unejected_at_{};
};

// Limits the probes of one service to a small share of its queries, so that
// probing known stragglers does not affect the 99th percentile.
class ProbeBudget {
 public:
  // Called for each first attempt. A query makes one for each of `shards`
  // shards.
  void OnFirstAttempt(std::size_t shards);
  bool HasToken() const { return tokens_ >= 1; }
  void TakeToken() { tokens_ -= 1; }

 private:
  double tokens_ = 0;
};

}  // namespace jujubecove
