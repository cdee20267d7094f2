#pragma once

#include <deque>
#include <functional>
#include <list>

#include "kernel/timer_service.h"
#include "relay/store_changes.h"

namespace jujubecove {

// Passes the changes that this daemon's own watch of the store reports on to
// other daemons. It remembers a limited history. It answers for the store only
// while the store's last answer is recent: a daemon that was frozen, or is cut
// off from the store, says so, and those that ask go elsewhere.
class ChangeRelay {
 public:
  using Done = std::function<void(ChangesReply)>;

  // The view is stale when the store's last answer is older than
  // `max_view_age`.
  ChangeRelay(TimerService& timers, Duration max_view_age);
  ChangeRelay(const ChangeRelay&) = delete;
  ChangeRelay& operator=(const ChangeRelay&) = delete;
  ~ChangeRelay();

  void OnWatchStarted() { watching_ = true; }
  // The result of a watch for changes after `after`. A store that serves has
  // answered it by `answer_due`.
  void OnWatchFinished(StorePosition after,
                       TimePoint answer_due,
                       const KvPage& page);
  // This daemon follows another one and does not watch the store any more.
  void OnWatchStopped();
  // The store serves again after an outage.
  void OnOutageEnded(Duration outage);

  // Replies as soon as there are changes, or after the wait of the query.
  void Poll(const ChangesQuery& query, Done done);

  bool IsCurrent() const;
  // Time since the store's last answer.
  Duration ViewAge() const { return timers_.Now() - view_time_; }
  std::size_t waiting() const { return waiting_.size(); }
  std::uint64_t polls() const { return polls_; }

 private:
  struct WaitingPoll {
    ChangesQuery query;
    Done done;
    TimerId timer;
  };
  using WaitingPolls = std::list<WaitingPoll>;

  void Append(StorePosition after, const KvPage& page);
  // Whether the history holds all changes after the position.
  bool Remembers(StorePosition after) const;
  // Whether the query need not wait any longer.
  bool IsDue(const ChangesQuery& query) const;
  ChangesReply MakeReply(const ChangesQuery& query) const;
  void AddOutage(ChangesReply& reply) const;
  void ReplyToDuePolls();

  TimerService& timers_;
  Duration max_view_age_;
  bool watching_ = false;
  // Whether the latest watch has failed.
  bool failed_ = false;
  // Whether `history_` holds all changes from `base_` to `latest_`.
  bool has_history_ = false;
  StoreEra era_;
  StoreRevision base_;
  StoreRevision latest_;
  std::deque<KvItem> history_;
  std::size_t history_bytes_ = 0;
  // When the store served the latest answer.
  TimePoint view_time_{};
  Duration last_outage_{};
  TimePoint last_outage_end_{};
  WaitingPolls waiting_;
  std::uint64_t polls_ = 0;
};

}  // namespace jujubecove
