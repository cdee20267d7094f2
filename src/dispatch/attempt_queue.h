#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "dispatch/searcher_transport.h"

namespace jujubecove {

// An attempt that waits for a connection.
struct QueuedAttempt {
  AttemptId id;
  ForwardedRequestPtr request;
  AttemptOptions attempt_options;
  SearcherTransport::ReplyHandler done;
  TimePoint queued_at{};
};

// The attempts that wait for a connection to one searcher. Those that can still
// meet their route's target go before the others. Within both, the most urgent
// ones go first, and among equally urgent ones the earliest deadline. Answers
// the load of requests of several urgencies for more than a searcher can serve.
// Every third attempt is taken whatever its urgency, so that less urgent ones
// keep about a third of the share that they would have without urgencies. An
// attempt expires unsent when its reply would come too late, so
// that it takes no slot of the searcher.
class AttemptQueue {
 public:
  void Push(QueuedAttempt attempt);
  // Precondition: not empty.
  const QueuedAttempt& Next(TimePoint now) const;
  QueuedAttempt Pop(TimePoint now);
  // Returns whether the attempt was queued.
  bool Remove(AttemptId id);

  // Removes and returns the attempts past their write deadline.
  std::vector<QueuedAttempt> TakeExpired(TimePoint now);
  // The earliest write deadline, or nothing if the queue is empty.
  std::optional<TimePoint> NextExpiry() const;
  std::vector<QueuedAttempt> TakeAll();

  bool empty() const { return attempts_.empty(); }
  std::size_t size() const { return attempts_.size(); }

 private:
  std::size_t NextIndex(TimePoint now) const;

  // Ordered by AttemptOptions::target_write_time, then by arrival.
  std::deque<QueuedAttempt> attempts_;
  // Whether an attempt that is less urgent than others may be queued.
  bool has_urgencies_ = false;
  // Attempts taken while that was so.
  std::uint32_t ranked_pops_ = 0;
};

}  // namespace jujubecove
