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

// A queued query.
struct QueuedQuery {
  AdmissionRequest item;
  TimePoint queued_at;
  std::uint64_t order = 0;
  // After this the deadline cannot be met any more.
  TimePoint latest_start;
};

// The queued queries of one service: by urgency, and within an urgency by turns
// of the callers.
class ServiceQueue {
 public:
  void Push(QueuedQuery query);
  // The next in order: the most urgent, except that one in twenty goes to the
  // longest-waiting less urgent one.
  std::optional<QueuedQuery> Pop();
  std::optional<QueuedQuery> Remove(RequestId request);
  // Takes out the newest query of the lowest urgency if that is lower than
  // `urgency`.
  std::optional<QueuedQuery> Displace(Urgency urgency);

  // Queries that would be served before a new one of this caller.
  std::size_t CountAhead(Urgency urgency, const CallerName& caller) const;
  std::size_t size() const { return size_; }

 private:
  using Entries = std::list<QueuedQuery>;
  struct Turn {
    CallerName caller;
    Entries entries;
  };
  // The callers of one urgency in the order of their turns.
  struct Level {
    std::list<Turn> turns;
    std::unordered_map<CallerName, std::list<Turn>::iterator> by_caller;
    std::size_t size = 0;
  };
  struct Place {
    std::size_t level = 0;
    std::list<Turn>::iterator turn;
    Entries::iterator entry;
  };

  std::optional<std::size_t> NextLevel();
  std::optional<std::size_t> LongestWaitingBelow(std::size_t level) const;
  QueuedQuery TakeOut(const Place& place);

  std::array<Level, kUrgencyCount> levels_;
  std::unordered_map<RequestId, Place> places_;
  std::size_t size_ = 0;
  std::uint64_t pops_ = 0;
};

}  // namespace jujubecove
