#pragma once

#include <algorithm>
#include <map>
#include <optional>

#include "base/ids.h"
#include "base/units.h"
#include "dispatch/searcher_transport.h"

namespace jujubecove {

// This daemon's view of one searcher: attempts in flight, latency, failures and
// the latest reported load. Latencies of different routes are made comparable
// by dividing them by the route's average.
class SearcherHealth {
 public:
  SearcherHealth(int slots, TimePoint warmup_end)
      : slots_(slots), warmup_end_(warmup_end) {}

  void OnSent(AttemptId attempt, TimePoint now);
  // `typical` is the route's average latency.
  void OnReply(AttemptId attempt,
               const AttemptReply& reply,
               Duration typical,
               TimePoint now);
  // The attempt was cancelled without a reply. It counts as a failure if it was
  // `overdue`.
  void OnCancelled(AttemptId attempt, bool overdue, TimePoint now);

  // Estimated latency of a new attempt on a route with this average.
  Duration ExpectedLatency(Duration typical, TimePoint now) const;
  // Conservative estimate of the time from writing the request to its reply.
  // Unlike ExpectedLatency, it excludes the wait for a connection.
  Duration EstimateReplyTime(Duration typical) const;
  // Whether attempts recently failed or timed out, so that the searcher is used
  // only if there is no other one.
  bool IsSuspect(TimePoint now) const { return now < suspect_until_; }

  // Until when the searcher wants no requests from this daemon.
  TimePoint pushed_back_until() const { return pushed_back_until_; }
  // From when on new attempts may be sent.
  TimePoint available_at() const {
    return std::max(address_reused_until_, pushed_back_until_);
  }
  bool IsAvailable(TimePoint now) const { return now >= available_at(); }

  // Moving average of the share of attempts that were refused or failed.
  double failure_rate() const { return failure_rate_; }

  // Whether a reply was received to an attempt that was sent after `time`.
  bool HasRepliedSince(TimePoint time) const {
    return last_replied_sent_at_ > time;
  }

  int in_flight() const { return static_cast<int>(in_flight_.size()); }
  int slots() const { return slots_; }
  void set_slots(int slots) { slots_ = slots; }
  void set_warmup_end(TimePoint end) { warmup_end_ = end; }

 private:
  double EstimatedLoad(TimePoint now) const;
  void MarkSuspect(TimePoint now);

  int slots_;
  TimePoint warmup_end_;
  std::map<AttemptId, TimePoint> in_flight_;
  // When the latest attempt that got a reply was sent.
  TimePoint last_replied_sent_at_{};
  // Moving average of the latency relative to the route's average.
  double latency_ratio_ = 1.0;
  // The same without the wait for a connection, and its mean deviation.
  double reply_time_ratio_ = 1.0;
  double reply_time_deviation_ = 0.0;
  double failure_rate_ = 0.0;
  std::optional<ReportedLoad> reported_;
  TimePoint reported_at_{};
  TimePoint suspect_until_{};
  TimePoint address_reused_until_{};
  TimePoint pushed_back_until_{};
  int consecutive_failures_ = 0;
};

}  // namespace jujubecove
