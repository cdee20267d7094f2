#include "admission/service_queue.h"

#include <algorithm>
#include <utility>

namespace jujubecove {
namespace {

// One dequeue in this many goes to a lower urgency, so that none starves.
constexpr std::uint64_t kLowerEvery = 20;

std::size_t LevelOf(Urgency urgency) {
  return static_cast<std::size_t>(urgency);
}

}  // namespace

void ServiceQueue::Push(QueuedQuery query) {
  std::size_t level = LevelOf(query.item.urgency);
  Level& entries = levels_[level];
  auto [it, inserted] =
      entries.by_caller.try_emplace(query.item.caller, entries.turns.end());
  if (inserted) {
    entries.turns.push_back(Turn{query.item.caller, {}});
    it->second = std::prev(entries.turns.end());
  }
  RequestId request = query.item.request;
  Entries& queue = it->second->entries;
  queue.push_back(std::move(query));
  places_[request] = Place{level, it->second, std::prev(queue.end())};
  ++entries.size;
  ++size_;
}

std::optional<std::size_t> ServiceQueue::LongestWaitingBelow(
    std::size_t level) const {
  std::optional<std::size_t> found;
  std::uint64_t oldest = 0;
  for (std::size_t n = level + 1; n < levels_.size(); ++n) {
    for (const Turn& turn : levels_[n].turns) {
      std::uint64_t order = turn.entries.front().order;
      if (!found || order < oldest) {
        found = n;
        oldest = order;
      }
    }
  }
  return found;
}

std::optional<std::size_t> ServiceQueue::NextLevel() {
  auto it = std::find_if(levels_.begin(), levels_.end(),
                         [](const Level& level) { return level.size > 0; });
  if (it == levels_.end())
    return std::nullopt;
  std::size_t level = static_cast<std::size_t>(it - levels_.begin());
  if (++pops_ % kLowerEvery == 0)
    return LongestWaitingBelow(level).value_or(level);
  return level;
}

std::optional<QueuedQuery> ServiceQueue::Pop() {
  std::optional<std::size_t> level = NextLevel();
  if (!level)
    return std::nullopt;
  Level& entries = levels_[*level];
  auto turn = entries.turns.begin();
  // The caller's next turn comes after all the others'.
  entries.turns.splice(entries.turns.end(), entries.turns, turn);
  return TakeOut(Place{*level, turn, turn->entries.begin()});
}

QueuedQuery ServiceQueue::TakeOut(const Place& place) {
  Level& level = levels_[place.level];
  QueuedQuery query = std::move(*place.entry);
  place.turn->entries.erase(place.entry);
  if (place.turn->entries.empty()) {
    level.by_caller.erase(place.turn->caller);
    level.turns.erase(place.turn);
  }
  places_.erase(query.item.request);
  --level.size;
  --size_;
  return query;
}

std::optional<QueuedQuery> ServiceQueue::Remove(RequestId request) {
  auto it = places_.find(request);
  if (it == places_.end())
    return std::nullopt;
  Place place = it->second;
  return TakeOut(place);
}

std::optional<QueuedQuery> ServiceQueue::Displace(Urgency urgency) {
  for (std::size_t n = levels_.size(); n-- > LevelOf(urgency) + 1;) {
    Level& level = levels_[n];
    if (level.size == 0)
      continue;
    auto newest = std::max_element(level.turns.begin(), level.turns.end(),
                                   [](const Turn& a, const Turn& b) {
                                     return a.entries.back().order <
                                            b.entries.back().order;
                                   });
    return TakeOut(Place{n, newest, std::prev(newest->entries.end())});
  }
  return std::nullopt;
}

std::size_t ServiceQueue::CountAhead(Urgency urgency,
                                     const CallerName& caller) const {
  std::size_t level = LevelOf(urgency);
  std::size_t ahead = 0;
  for (std::size_t n = 0; n < level; ++n)
    ahead += levels_[n].size;
  const Level& entries = levels_[level];
  auto own = entries.by_caller.find(caller);
  std::size_t own_size =
      own == entries.by_caller.end() ? 0 : own->second->entries.size();
  for (const Turn& turn : entries.turns)
    ahead += std::min(turn.entries.size(), own_size + 1);
  return ahead;
}

}  // namespace jujubecove
