#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <optional>
#include <unordered_map>
#include <vector>

#include "admission/admission_queue.h"
#include "base/ids.h"
#include "base/units.h"

namespace jujubecove {

struct QueuedQuery {
  AdmissionRequest admission_request;
  TimePoint queued_at;
  std::uint64_t order = 0;
  // A later start can't meet the deadline.
  TimePoint latest_start;
};

// Queued queries of one service, ordered by urgency. Queries of equal urgency
// are taken round-robin from their callers.
class ServiceQueue {
 public:
  void Push(QueuedQuery query);
  // Takes out the next query of the highest urgency. Every 20th time it is the
  // longest-waiting one of a lower urgency instead.
  std::optional<QueuedQuery> Pop();
  std::optional<QueuedQuery> Remove(RequestId request);
  // Takes out the newest query of the lowest urgency if that is below
  // `urgency`.
  std::optional<QueuedQuery> EvictLessUrgent(Urgency urgency);

  // Number of queries that would be taken before a new one of this caller.
  std::size_t CountAhead(Urgency urgency, const CallerName& caller) const;
  std::size_t size() const { return size_; }

 private:
  using Entries = std::list<QueuedQuery>;
  struct CallerQueue {
    CallerName caller;
    Entries entries;
  };
  // The queries of one urgency, with the callers in round-robin order.
  struct UrgencyLevel {
    std::list<CallerQueue> caller_queues;
    std::unordered_map<CallerName, std::list<CallerQueue>::iterator> by_caller;
    std::size_t size = 0;
  };
  struct Position {
    std::size_t level = 0;
    std::list<CallerQueue>::iterator caller_queue;
    Entries::iterator entry;
  };

  std::optional<std::size_t> NextLevel();
  std::optional<std::size_t> LongestWaitingBelow(std::size_t level) const;
  QueuedQuery Extract(const Position& position);

  std::array<UrgencyLevel, kUrgencyCount> levels_;
  std::unordered_map<RequestId, Position> positions_;
  std::size_t size_ = 0;
  std::uint64_t pops_ = 0;
};

}  // namespace jujubecove
