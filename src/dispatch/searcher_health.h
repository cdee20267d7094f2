#pragma once

#include <map>
#include <optional>

#include "base/ids.h"
#include "base/units.h"
#include "dispatch/searcher_transport.h"

namespace jujubecove {

// What this daemon has observed of one searcher: attempts under way, relative
// speed, failures, and the load that it last reported.
class SearcherHealth {
 public:
  SearcherHealth(int slots, TimePoint warm_at)
      : slots_(slots), warm_at_(warm_at) {}

  void OnSent(AttemptId attempt, TimePoint now);
  // `usual` is the latency that the route has on average.
  void OnReply(AttemptId attempt,
               const AttemptReply& reply,
               Duration usual,
               TimePoint now);
  // The attempt was cancelled without a reply. `overdue` says that the searcher
  // had far longer than usual.
  void OnCancelled(AttemptId attempt, bool overdue, TimePoint now);

  // Expected time to a reply of a request that usually takes `usual`.
  Duration ExpectedLatency(Duration usual, TimePoint now) const;
  // How long a reply is likely to take at most once the request is written to a
  // connection. Unlike the expected latency, it has no part for the wait here.
  Duration LikelyReplyTime(Duration usual) const;
  // Recent attempts failed or stayed unanswered, so that it should get a
  // request only if no other searcher is left.
  bool IsSuspect(TimePoint now) const { return now < suspect_until_; }

  // Another searcher answered at its address a short while ago, so that nothing
  // may be sent there.
  bool IsDisplaced(TimePoint now) const { return now < displaced_until_; }

  int in_flight() const { return static_cast<int>(in_flight_.size()); }
  int slots() const { return slots_; }
  void set_slots(int slots) { slots_ = slots; }
  void set_warm_at(TimePoint at) { warm_at_ = at; }

 private:
  double EstimatedLoad(TimePoint now) const;
  void Suspect(TimePoint now);

  int slots_;
  TimePoint warm_at_;
  std::map<AttemptId, TimePoint> in_flight_;
  // Latency relative to the usual one of the same route.
  double slowness_ = 1.0;
  // The same without the wait for a connection: average and mean deviation.
  double reply_ratio_ = 1.0;
  double reply_deviation_ = 0.0;
  // Moving share of attempts that were refused or failed.
  double failure_share_ = 0.0;
  std::optional<ReportedLoad> reported_;
  TimePoint reported_at_{};
  TimePoint suspect_until_{};
  TimePoint displaced_until_{};
  int failures_in_row_ = 0;
};

}  // namespace jujubecove
