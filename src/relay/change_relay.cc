#include "relay/change_relay.h"

#include <algorithm>
#include <utility>

namespace jujubecove {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kMaxHistoryBytes = std::size_t{1} << 20U;
// Estimate of the memory of an item beside its key and value.
constexpr std::size_t kItemOverhead = 96;
constexpr std::size_t kMaxWaitingPolls = 4096;
// An answer that takes longer than the wait and this time was delayed on its
// way or in this process.
constexpr Duration kAnswerSlack = milliseconds(300);
// Daemons that ask within this time hear of an outage that has ended.
constexpr Duration kOutageReported = std::chrono::seconds(3);

std::size_t SizeOf(const KvItem& item) {
  return item.key.size() + item.value.size() + kItemOverhead;
}

}  // namespace

ChangeRelay::ChangeRelay(TimerService& timers, Duration max_view_age)
    : timers_(timers),
      max_view_age_(max_view_age),
      // No outage has ended recently.
      last_outage_end_(timers.Now() - kOutageReported) {}

ChangeRelay::~ChangeRelay() {
  for (const WaitingPoll& it : waiting_)
    timers_.Cancel(it.timer);
}

void ChangeRelay::OnWatchStopped() {
  watching_ = false;
  has_history_ = false;
}

void ChangeRelay::OnWatchFinished(StorePosition after,
                                  TimePoint answer_due,
                                  const KvPage& page) {
  if (!watching_)
    return;
  if (page.status != KvStatus::kOk) {
    failed_ = true;
    if (page.status == KvStatus::kCompacted)
      has_history_ = false;
    return;
  }
  failed_ = false;
  if (page.era != after.era) {
    // This daemon has to list the store first.
    has_history_ = false;
    return;
  }
  // A process that was frozen reads the answer long after it was sent.
  view_time_ = std::min(timers_.Now(), answer_due + kAnswerSlack);
  Append(after, page);
  ReplyToDuePolls();
}

void ChangeRelay::Append(StorePosition after, const KvPage& page) {
  // The watch goes on after a new listing.
  if (!has_history_ || after.era != era_ || after.revision > latest_ ||
      after.revision < base_) {
    history_.clear();
    history_bytes_ = 0;
    era_ = after.era;
    base_ = latest_ = after.revision;
    has_history_ = true;
  }
  StoreRevision known = latest_;
  for (const KvItem& it : page.items) {
    if (it.revision <= known)
      continue;
    latest_ = std::max(latest_, it.revision);
    history_bytes_ += SizeOf(it);
    history_.push_back(it);
  }
  latest_ = std::max(latest_, page.current_revision);
  while (history_bytes_ > kMaxHistoryBytes) {
    base_ = history_.front().revision;
    history_bytes_ -= SizeOf(history_.front());
    history_.pop_front();
  }
}

void ChangeRelay::OnOutageEnded(Duration outage) {
  last_outage_ = outage;
  last_outage_end_ = timers_.Now();
}

bool ChangeRelay::IsCurrent() const {
  return watching_ && has_history_ && !failed_ && ViewAge() <= max_view_age_;
}

bool ChangeRelay::IsDue(const ChangesQuery& query) const {
  if (!watching_)
    return true;
  if (!IsCurrent() || query.after.era > era_)
    return false;
  return !Remembers(query.after) ||
         (!history_.empty() && history_.back().revision > query.after.revision);
}

bool ChangeRelay::Remembers(StorePosition after) const {
  return after.era == era_ && after.revision >= base_;
}

ChangesReply ChangeRelay::MakeReply(const ChangesQuery& query) const {
  ChangesReply reply;
  AddOutage(reply);
  reply.current = {.era = era_, .revision = latest_};
  if (!IsCurrent() || query.after.era > era_)
    return reply;
  if (!Remembers(query.after)) {
    reply.state = ViewState::kNoHistory;
    return reply;
  }
  reply.state = ViewState::kCurrent;
  auto first = std::find_if(
      history_.begin(), history_.end(),
      [&](const KvItem& it) { return it.revision > query.after.revision; });
  reply.items.assign(first, history_.end());
  return reply;
}

void ChangeRelay::AddOutage(ChangesReply& reply) const {
  if (watching_ && has_history_ && !IsCurrent()) {
    // The store may not serve at this moment.
    reply.outage = ViewAge();
  } else if (timers_.Now() - last_outage_end_ < kOutageReported) {
    reply.outage = last_outage_;
    reply.since_outage = timers_.Now() - last_outage_end_;
  }
}

void ChangeRelay::Poll(const ChangesQuery& query, Done done) {
  ++polls_;
  if (IsDue(query) || query.wait <= Duration(0) ||
      waiting_.size() >= kMaxWaitingPolls) {
    done(MakeReply(query));
    return;
  }
  auto it = waiting_.insert(
      waiting_.end(), {.query = query, .done = std::move(done), .timer = {}});
  it->timer = timers_.ScheduleAfter(query.wait, [this, it] {
    WaitingPoll poll = std::move(*it);
    waiting_.erase(it);
    poll.done(MakeReply(poll.query));
  });
}

void ChangeRelay::ReplyToDuePolls() {
  WaitingPolls due;
  for (auto it = waiting_.begin(); it != waiting_.end();) {
    auto next = std::next(it);
    if (IsDue(it->query)) {
      timers_.Cancel(it->timer);
      due.splice(due.end(), waiting_, it);
    }
    it = next;
  }
  for (WaitingPoll& it : due)
    it.done(MakeReply(it.query));
}

}  // namespace jujubecove
