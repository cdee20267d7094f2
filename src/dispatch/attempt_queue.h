#pragma once

#include <deque>
#include <optional>
#include <vector>

#include "dispatch/searcher_transport.h"

namespace jujubecove {

// An attempt that has no connection yet.
struct QueuedAttempt {
  AttemptId id;
  ForwardedRequestPtr request;
  AttemptOptions attempt_options;
  SearcherTransport::ReplyHandler done;
  TimePoint queued_at{};
};

// The attempts that wait for a connection to one searcher. Those that can still
// be in time for their route's target go first, the most pressing one of them
// before the others. An attempt whose reply would be of no use is given back
// unsent, so that the searcher's slots serve the others.
class AttemptQueue {
 public:
  void Push(QueuedAttempt attempt);
  // Precondition: not empty.
  const QueuedAttempt& Next(TimePoint now) const;
  QueuedAttempt Pop(TimePoint now);
  // False when it does not wait here.
  bool Remove(AttemptId id);

  // Takes those that are of no use any more.
  std::vector<QueuedAttempt> TakeExpired(TimePoint now);
  // When TakeExpired has something to take; nothing while none waits.
  std::optional<TimePoint> NextExpiry() const;
  std::vector<QueuedAttempt> TakeAll();

  bool empty() const { return attempts_.empty(); }
  std::size_t size() const { return attempts_.size(); }

 private:
  std::size_t NextIndex(TimePoint now) const;

  // In the order of AttemptOptions::target_write_time; of equal ones, of
  // arrival.
  std::deque<QueuedAttempt> attempts_;
};

}  // namespace jujubecove
