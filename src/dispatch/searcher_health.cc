#include "dispatch/searcher_health.h"

#include <algorithm>
#include <cmath>

namespace jujubecove {
namespace {

using std::chrono::milliseconds;

// Weights of a new observation in the moving averages.
constexpr double kLatencyWeight = 0.1;
constexpr double kFailureWeight = 0.15;
// Limits the influence of a single extreme latency.
constexpr double kMaxLatencyRatio = 12.0;
// Mean deviations above the average in the estimate of the reply time. A larger
// value drops attempts that could be in time, a smaller one sends attempts that
// are late.
constexpr double kReplyTimeDeviations = 1.5;
// Latency factor of a searcher during its warm-up.
constexpr double kWarmupLatencyFactor = 1.6;
// Age at which a reported load has half its weight.
constexpr double kReportHalfLifeMs = 60.0;
// Increase of the expected latency, as a factor, at a failure rate of 1.
constexpr double kFailurePenalty = 8.0;
// An attempt without a reply for this multiple of the expected latency
// indicates that the searcher is paused or gone.
constexpr double kOverdueFactor = 3.0;
constexpr Duration kMinOverdueTime = milliseconds(15);
// How long a searcher is suspect; doubles with each further failure.
constexpr Duration kInitialSuspectTime = milliseconds(250);
constexpr Duration kMaxSuspectTime = milliseconds(4000);
constexpr int kMaxDoublings = 4;
// Longer than the three missed heartbeats after which a searcher's registration
// expires.
constexpr Duration kAddressReuseTime = milliseconds(5000);

}  // namespace

void SearcherHealth::OnSent(AttemptId attempt, TimePoint now) {
  in_flight_.emplace(attempt, now);
}

void SearcherHealth::OnReply(AttemptId attempt,
                             const AttemptReply& reply,
                             Duration typical,
                             TimePoint now) {
  auto it = in_flight_.find(attempt);
  if (it == in_flight_.end())
    return;
  Duration latency = now - it->second;
  if (reply.status != 0)
    last_replied_sent_at_ = std::max(last_replied_sent_at_, it->second);
  in_flight_.erase(it);
  if (reply.load) {
    reported_ = reply.load;
    reported_at_ = now;
  }
  bool success = reply.outcome == AttemptResult::kSuccess;
  failure_rate_ += kFailureWeight * ((success ? 0.0 : 1.0) - failure_rate_);
  if (success) {
    double ratio =
        ToMilliseconds(latency) / std::max(0.1, ToMilliseconds(typical));
    latency_ratio_ +=
        kLatencyWeight * (std::min(ratio, kMaxLatencyRatio) - latency_ratio_);
    double observed_ratio =
        std::min(ToMilliseconds(latency - reply.queue_time) /
                     std::max(0.1, ToMilliseconds(typical)),
                 kMaxLatencyRatio);
    reply_time_deviation_ +=
        kLatencyWeight *
        (std::abs(observed_ratio - reply_time_ratio_) - reply_time_deviation_);
    reply_time_ratio_ += kLatencyWeight * (observed_ratio - reply_time_ratio_);
    consecutive_failures_ = 0;
    suspect_until_ = TimePoint{};
    return;
  }
  if (reply.outcome == AttemptResult::kWrongInstance)
    address_reused_until_ = now + kAddressReuseTime;
  if (reply.retry_after)
    pushed_back_until_ = std::max(pushed_back_until_, now + *reply.retry_after);
  // After a refusal or a reported failure the searcher is still reachable; only
  // connection failures make it suspect.
  bool returned_unsent =
      reply.outcome == AttemptResult::kNotSent && now < pushed_back_until_;
  if (reply.outcome == AttemptResult::kBroken ||
      (reply.outcome == AttemptResult::kNotSent && !returned_unsent))
    MarkSuspect(now);
}

void SearcherHealth::OnCancelled(AttemptId attempt,
                                 bool overdue,
                                 TimePoint now) {
  if (in_flight_.erase(attempt) == 0 || !overdue)
    return;
  failure_rate_ += kFailureWeight * (1.0 - failure_rate_);
  MarkSuspect(now);
}

void SearcherHealth::MarkSuspect(TimePoint now) {
  // Failures of concurrent attempts have one cause and count once.
  if (now < suspect_until_)
    return;
  int doublings = std::min(consecutive_failures_, kMaxDoublings);
  ++consecutive_failures_;
  suspect_until_ =
      now + std::min(kInitialSuspectTime * (1 << doublings), kMaxSuspectTime);
}

double SearcherHealth::EstimatedLoad(TimePoint now) const {
  double own = static_cast<double>(in_flight_.size());
  if (!reported_)
    return own;
  double age = ToMilliseconds(now - reported_at_);
  double report_weight = kReportHalfLifeMs / (kReportHalfLifeMs + age);
  double reported = reported_->running + reported_->waiting;
  return std::max(own, reported * report_weight + own * (1.0 - report_weight));
}

Duration SearcherHealth::EstimateReplyTime(Duration typical) const {
  double ratio =
      reply_time_ratio_ + kReplyTimeDeviations * reply_time_deviation_;
  return Duration(
      static_cast<Duration::rep>(static_cast<double>(typical.count()) * ratio));
}

Duration SearcherHealth::ExpectedLatency(Duration typical,
                                         TimePoint now) const {
  double service_time = static_cast<double>(typical.count()) * latency_ratio_;
  double expected = service_time;
  double excess = EstimatedLoad(now) + 1.0 - slots_;
  if (excess > 0.0)
    expected += service_time * excess / slots_;
  // Prefers the less loaded of two searchers with free slots.
  expected += service_time * 0.1 * EstimatedLoad(now);
  if (!in_flight_.empty()) {
    Duration age = now - in_flight_.begin()->second;
    Duration overdue = std::max(
        kMinOverdueTime,
        Duration(static_cast<Duration::rep>(service_time * kOverdueFactor)));
    if (age > overdue)
      expected += static_cast<double>(age.count());
  }
  if (now < warmup_end_)
    expected *= kWarmupLatencyFactor;
  expected *= 1.0 + kFailurePenalty * failure_rate_;
  return Duration(static_cast<Duration::rep>(expected));
}

}  // namespace jujubecove
