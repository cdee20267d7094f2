#include "gather/wait_list.h"

namespace jujubecove {

WaitKey WaitList::Add(const WaitGroup& group,
                      Urgency urgency,
                      TimePoint deadline,
                      Entry entry) {
  WaitKey key{urgency, deadline, next_sequence_++};
  groups_[group].emplace(key, std::move(entry));
  return key;
}

void WaitList::Remove(const WaitGroup& group, const WaitKey& key) {
  auto it = groups_.find(group);
  if (it == groups_.end())
    return;
  it->second.erase(key);
  if (it->second.empty())
    groups_.erase(it);
}

std::optional<WaitList::Entry> WaitList::TakeFirst(const WaitGroup& group) {
  auto it = groups_.find(group);
  if (it == groups_.end())
    return std::nullopt;
  Entry entry = std::move(it->second.begin()->second);
  it->second.erase(it->second.begin());
  if (it->second.empty())
    groups_.erase(it);
  return entry;
}

std::vector<WaitGroup> WaitList::groups() const {
  std::vector<WaitGroup> groups;
  groups.reserve(groups_.size());
  for (const auto& [group, entries] : groups_)
    groups.push_back(group);
  return groups;
}

}  // namespace jujubecove
