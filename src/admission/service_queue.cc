#include "admission/service_queue.h"

#include <algorithm>
#include <utility>

namespace jujubecove {
namespace {

// One pop in this many takes a lower urgency, so that none starves.
constexpr std::uint64_t kPopsPerLowerUrgency = 20;

std::size_t LevelOf(Urgency urgency) {
  return static_cast<std::size_t>(urgency);
}

}  // namespace

void ServiceQueue::Push(QueuedQuery query) {
  std::size_t level = LevelOf(query.admission_request.urgency);
  UrgencyLevel& entries = levels_[level];
  auto [it, inserted] = entries.by_caller.try_emplace(
      query.admission_request.caller, entries.caller_queues.end());
  if (inserted) {
    entries.caller_queues.push_back(
        CallerQueue{query.admission_request.caller, {}});
    it->second = std::prev(entries.caller_queues.end());
  }
  RequestId request = query.admission_request.request;
  Entries& queue = it->second->entries;
  queue.push_back(std::move(query));
  positions_[request] = Position{level, it->second, std::prev(queue.end())};
  ++entries.size;
  ++size_;
}

std::optional<std::size_t> ServiceQueue::LongestWaitingBelow(
    std::size_t level) const {
  std::optional<std::size_t> found;
  std::uint64_t oldest = 0;
  for (std::size_t n = level + 1; n < levels_.size(); ++n) {
    for (const CallerQueue& caller_queue : levels_[n].caller_queues) {
      std::uint64_t order = caller_queue.entries.front().order;
      if (!found || order < oldest) {
        found = n;
        oldest = order;
      }
    }
  }
  return found;
}

std::optional<std::size_t> ServiceQueue::NextLevel() {
  auto it =
      std::find_if(levels_.begin(), levels_.end(),
                   [](const UrgencyLevel& level) { return level.size > 0; });
  if (it == levels_.end())
    return std::nullopt;
  std::size_t level = static_cast<std::size_t>(it - levels_.begin());
  if (++pops_ % kPopsPerLowerUrgency == 0)
    return LongestWaitingBelow(level).value_or(level);
  return level;
}

std::optional<QueuedQuery> ServiceQueue::Pop() {
  std::optional<std::size_t> level = NextLevel();
  if (!level)
    return std::nullopt;
  UrgencyLevel& entries = levels_[*level];
  auto caller_queue = entries.caller_queues.begin();
  // Round-robin: the caller goes to the end.
  entries.caller_queues.splice(entries.caller_queues.end(),
                               entries.caller_queues, caller_queue);
  return Extract(Position{*level, caller_queue, caller_queue->entries.begin()});
}

QueuedQuery ServiceQueue::Extract(const Position& position) {
  UrgencyLevel& level = levels_[position.level];
  QueuedQuery query = std::move(*position.entry);
  position.caller_queue->entries.erase(position.entry);
  if (position.caller_queue->entries.empty()) {
    level.by_caller.erase(position.caller_queue->caller);
    level.caller_queues.erase(position.caller_queue);
  }
  positions_.erase(query.admission_request.request);
  --level.size;
  --size_;
  return query;
}

std::optional<QueuedQuery> ServiceQueue::Remove(RequestId request) {
  auto it = positions_.find(request);
  if (it == positions_.end())
    return std::nullopt;
  Position position = it->second;
  return Extract(position);
}

std::optional<QueuedQuery> ServiceQueue::EvictLessUrgent(Urgency urgency) {
  for (std::size_t n = levels_.size(); n-- > LevelOf(urgency) + 1;) {
    UrgencyLevel& level = levels_[n];
    if (level.size == 0)
      continue;
    auto newest = std::max_element(
        level.caller_queues.begin(), level.caller_queues.end(),
        [](const CallerQueue& a, const CallerQueue& b) {
          return a.entries.back().order < b.entries.back().order;
        });
    return Extract(Position{n, newest, std::prev(newest->entries.end())});
  }
  return std::nullopt;
}

std::size_t ServiceQueue::CountAhead(Urgency urgency,
                                     const CallerName& caller) const {
  std::size_t level = LevelOf(urgency);
  std::size_t ahead = 0;
  for (std::size_t n = 0; n < level; ++n)
    ahead += levels_[n].size;
  const UrgencyLevel& entries = levels_[level];
  auto own = entries.by_caller.find(caller);
  std::size_t own_size =
      own == entries.by_caller.end() ? 0 : own->second->entries.size();
  for (const CallerQueue& caller_queue : entries.caller_queues)
    ahead += std::min(caller_queue.entries.size(), own_size + 1);
  return ahead;
}

}  // namespace jujubecove
