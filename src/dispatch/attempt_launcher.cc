#include "dispatch/attempt_launcher.h"

#include <utility>

namespace jujubecove {
namespace {

// A cancelled attempt counts as a failure of its searcher if it was in flight
// for longer than this multiple of the route's average latency.
constexpr int kOverdueFactor = 6;
constexpr Duration kMinOverdueTime = std::chrono::milliseconds(250);

}  // namespace

AttemptId AttemptLauncher::Launch(const PooledSearcherPtr& searcher,
                                  const ForwardedRequestPtr& request,
                                  const std::shared_ptr<RouteLatency>& latency,
                                  const AttemptOptions& attempt_options,
                                  ReplyHandler done) {
  AttemptId id(++last_id_);
  TimePoint now = timers_.Now();
  attempts_.emplace(id, Attempt{searcher, latency, now, std::move(done)});
  searcher->health.OnSent(id, now);
  transport_.Send(
      id, searcher->entry, request, attempt_options,
      [this, id](AttemptReply reply) { OnReply(id, std::move(reply)); });
  return id;
}

void AttemptLauncher::OnReply(AttemptId id, AttemptReply reply) {
  auto it = attempts_.find(id);
  if (it == attempts_.end())
    return;
  Attempt attempt = std::move(it->second);
  attempts_.erase(it);
  metrics_.CountAttempt(reply.outcome);
  TimePoint now = timers_.Now();
  attempt.searcher->health.OnReply(id, reply, attempt.latency->typical(), now);
  if (reply.outcome == AttemptResult::kSuccess)
    attempt.latency->Observe(now - attempt.sent_at, reply.on_new_connection);
  UpdateReachability(attempt, reply, now);
  OnRequestsUnwanted(*attempt.searcher, reply);
  if (attempt.done)
    attempt.done(id, std::move(reply));
}

void AttemptLauncher::UpdateReachability(const Attempt& attempt,
                                         const AttemptReply& reply,
                                         TimePoint now) {
  const SearcherEntry& entry = attempt.searcher->entry;
  if (reply.connect_failed)
    zones_.OnNoReply(entry.zone, entry.id, attempt.sent_at, now);
  else if (reply.status != 0)
    zones_.OnReply(entry.zone, now);
}

void AttemptLauncher::OnRequestsUnwanted(const PooledSearcher& searcher,
                                         const AttemptReply& reply) {
  // Another searcher at the address speaks only for itself.
  if (reply.outcome == AttemptResult::kWrongInstance)
    return;
  if (reply.leaving && on_leaving_)
    on_leaving_(searcher.entry);
  if (reply.retry_after)
    transport_.ReturnQueued(searcher.entry.id, "the searcher pushes back");
}

void AttemptLauncher::Detach(AttemptId id, Duration grace) {
  auto it = attempts_.find(id);
  if (it == attempts_.end())
    return;
  it->second.done = nullptr;
  if (!transport_.IsWritten(id)) {
    Cancel(id);
    return;
  }
  timers_.ScheduleAfter(grace, [this, id] { Cancel(id); });
}

void AttemptLauncher::DetachUntil(AttemptId id, TimePoint end) {
  auto it = attempts_.find(id);
  if (it == attempts_.end())
    return;
  it->second.done = nullptr;
  timers_.ScheduleAt(end, [this, id] { CancelSilent(id); });
}

void AttemptLauncher::CancelSilent(AttemptId id) {
  auto it = attempts_.find(id);
  if (it == attempts_.end())
    return;
  Attempt attempt = std::move(it->second);
  attempts_.erase(it);
  transport_.Cancel(id);
  metrics_.CountCancelled();
  bool is_blamed = !attempt.searcher->health.HasRepliedSince(attempt.sent_at);
  attempt.searcher->health.OnCancelled(id, is_blamed, timers_.Now());
}

bool AttemptLauncher::IsOverdue(const Attempt& attempt, TimePoint now) const {
  Duration age = now - attempt.sent_at;
  return age > kMinOverdueTime &&
         age > attempt.latency->typical() * kOverdueFactor;
}

void AttemptLauncher::ReportIfOverdue(AttemptId id) {
  auto it = attempts_.find(id);
  TimePoint now = timers_.Now();
  if (it == attempts_.end() || !IsOverdue(it->second, now))
    return;
  const SearcherEntry& entry = it->second.searcher->entry;
  zones_.OnNoReply(entry.zone, entry.id, it->second.sent_at, now);
}

void AttemptLauncher::Cancel(AttemptId id) {
  auto it = attempts_.find(id);
  if (it == attempts_.end())
    return;
  Attempt attempt = std::move(it->second);
  attempts_.erase(it);
  transport_.Cancel(id);
  metrics_.CountCancelled();
  TimePoint now = timers_.Now();
  bool overdue = IsOverdue(attempt, now);
  attempt.searcher->health.OnCancelled(id, overdue, now);
  const SearcherEntry& entry = attempt.searcher->entry;
  if (overdue)
    zones_.OnNoReply(entry.zone, entry.id, attempt.sent_at, now);
}

}  // namespace jujubecove
