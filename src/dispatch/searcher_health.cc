#include "dispatch/searcher_health.h"

#include <algorithm>
#include <cmath>

namespace jujubecove {
namespace {

using std::chrono::milliseconds;

// Weight of a new observation in the moving averages.
constexpr double kSlownessWeight = 0.1;
constexpr double kFailureWeight = 0.15;
// One extreme latency counts as at most this multiple of the usual one.
constexpr double kMaxSlowness = 12.0;
// A reply is likely to come within its average time and this many mean
// deviations. More would refuse work that could be in time, less would send
// work that is late.
constexpr double kReplyDeviations = 1.5;
// A searcher that has just started takes this much longer.
constexpr double kColdFactor = 1.6;
// A reported load counts half after this time.
constexpr double kReportHalfLifeMs = 60.0;
// How much a failure share of 1 multiplies the expected latency by.
constexpr double kFailurePenalty = 8.0;
// An attempt that is unanswered for this multiple of the usual latency shows
// that the searcher pauses or is gone.
constexpr double kOverdueFactor = 3.0;
constexpr Duration kOverdueFloor = milliseconds(15);
// A searcher that broke attempts is tried again after this time, which doubles
// with each further failure.
constexpr Duration kFirstSuspicion = milliseconds(250);
constexpr Duration kLongestSuspicion = milliseconds(4000);
constexpr int kMaxDoublings = 4;
// A registration outlives its searcher by three missed heartbeats, which is
// less than this.
constexpr Duration kDisplacement = milliseconds(5000);

}  // namespace

void SearcherHealth::OnSent(AttemptId attempt, TimePoint now) {
  in_flight_.emplace(attempt, now);
}

void SearcherHealth::OnReply(AttemptId attempt,
                             const AttemptReply& reply,
                             Duration usual,
                             TimePoint now) {
  auto it = in_flight_.find(attempt);
  if (it == in_flight_.end())
    return;
  Duration latency = now - it->second;
  in_flight_.erase(it);
  if (reply.load) {
    reported_ = reply.load;
    reported_at_ = now;
  }
  bool success = reply.outcome == AttemptResult::kSuccess;
  failure_share_ += kFailureWeight * ((success ? 0.0 : 1.0) - failure_share_);
  if (success) {
    double ratio =
        ToMilliseconds(latency) / std::max(0.1, ToMilliseconds(usual));
    slowness_ += kSlownessWeight * (std::min(ratio, kMaxSlowness) - slowness_);
    double at_searcher = std::min(ToMilliseconds(latency - reply.queue_time) /
                                      std::max(0.1, ToMilliseconds(usual)),
                                  kMaxSlowness);
    reply_deviation_ +=
        kSlownessWeight *
        (std::abs(at_searcher - reply_ratio_) - reply_deviation_);
    reply_ratio_ += kSlownessWeight * (at_searcher - reply_ratio_);
    failures_in_row_ = 0;
    suspect_until_ = TimePoint{};
    return;
  }
  if (reply.outcome == AttemptResult::kWrongInstance)
    displaced_until_ = now + kDisplacement;
  // A refusal or a reported failure shows that the searcher is there; only a
  // connection that can't be used makes it suspect at once.
  if (reply.outcome == AttemptResult::kBroken ||
      reply.outcome == AttemptResult::kNotSent)
    Suspect(now);
}

void SearcherHealth::OnCancelled(AttemptId attempt,
                                 bool overdue,
                                 TimePoint now) {
  if (in_flight_.erase(attempt) == 0 || !overdue)
    return;
  failure_share_ += kFailureWeight * (1.0 - failure_share_);
  Suspect(now);
}

void SearcherHealth::Suspect(TimePoint now) {
  // Failures of attempts that were under way together are one sign, not many.
  if (now < suspect_until_)
    return;
  int doublings = std::min(failures_in_row_, kMaxDoublings);
  ++failures_in_row_;
  suspect_until_ =
      now + std::min(kFirstSuspicion * (1 << doublings), kLongestSuspicion);
}

double SearcherHealth::EstimatedLoad(TimePoint now) const {
  double own = static_cast<double>(in_flight_.size());
  if (!reported_)
    return own;
  double age = ToMilliseconds(now - reported_at_);
  double fresh = kReportHalfLifeMs / (kReportHalfLifeMs + age);
  double reported = reported_->running + reported_->waiting;
  return std::max(own, reported * fresh + own * (1.0 - fresh));
}

Duration SearcherHealth::LikelyReplyTime(Duration usual) const {
  double ratio = reply_ratio_ + kReplyDeviations * reply_deviation_;
  return Duration(
      static_cast<Duration::rep>(static_cast<double>(usual.count()) * ratio));
}

Duration SearcherHealth::ExpectedLatency(Duration usual, TimePoint now) const {
  double service = static_cast<double>(usual.count()) * slowness_;
  double expected = service;
  double excess = EstimatedLoad(now) + 1.0 - slots_;
  if (excess > 0.0)
    expected += service * excess / slots_;
  // Prefers the less loaded of two searchers that both have free slots.
  expected += service * 0.1 * EstimatedLoad(now);
  if (!in_flight_.empty()) {
    Duration age = now - in_flight_.begin()->second;
    Duration overdue = std::max(
        kOverdueFloor,
        Duration(static_cast<Duration::rep>(service * kOverdueFactor)));
    if (age > overdue)
      expected += static_cast<double>(age.count());
  }
  if (now < warm_at_)
    expected *= kColdFactor;
  expected *= 1.0 + kFailurePenalty * failure_share_;
  return Duration(static_cast<Duration::rep>(expected));
}

}  // namespace jujubecove
