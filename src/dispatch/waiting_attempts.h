#pragma once

#include <deque>
#include <optional>
#include <vector>

#include "dispatch/searcher_transport.h"

namespace jujubecove {

// An attempt that has no connection yet.
struct WaitingAttempt {
  AttemptId id;
  ForwardedRequestPtr request;
  AttemptTerms terms;
  SearcherTransport::ReplyHandler done;
  TimePoint queued_at{};
};

// The attempts that wait for a connection to one searcher. Those that can still
// be in time for their route's target go first, the most pressing one of them
// before the others. An attempt whose reply would be of no use is given back
// unsent, so that the searcher's slots serve the others.
class WaitingAttempts {
 public:
  void Push(WaitingAttempt attempt);
  // Precondition: not empty.
  const WaitingAttempt& Next(TimePoint now) const;
  WaitingAttempt Pop(TimePoint now);
  // False when it does not wait here.
  bool Remove(AttemptId id);

  // Takes those that are of no use any more.
  std::vector<WaitingAttempt> TakeUseless(TimePoint now);
  // When TakeUseless has something to take; nothing while none waits.
  std::optional<TimePoint> NextUseless() const;
  std::vector<WaitingAttempt> TakeAll();

  bool empty() const { return attempts_.empty(); }
  std::size_t size() const { return attempts_.size(); }

 private:
  std::size_t NextIndex(TimePoint now) const;

  // In the order of AttemptTerms::write_for_target; of equal ones, of arrival.
  std::deque<WaitingAttempt> attempts_;
};

}  // namespace jujubecove
