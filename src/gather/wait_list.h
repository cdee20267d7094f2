#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "base/ids.h"
#include "base/units.h"
#include "document/document.h"

namespace jujubecove {

struct QueryRun;

// Shards that compete for the same replicas: the map and the place in it.
struct WaitGroup {
  ShardMapVersion map_version;
  std::size_t shard = 0;

  friend auto operator<=>(const WaitGroup&, const WaitGroup&) = default;
};

// Place of a waiting shard: the more urgent first, then the sooner deadline,
// then the one that came first.
struct WaitKey {
  Urgency urgency = Urgency::kNormal;
  TimePoint deadline;
  std::uint64_t sequence = 0;

  friend auto operator<=>(const WaitKey&, const WaitKey&) = default;
};

// The shards of one service's queries that wait for a replica below its
// concurrency limit.
class WaitList {
 public:
  struct Entry {
    std::shared_ptr<QueryRun> run;
    std::size_t shard = 0;
  };

  // The key is needed to remove the entry.
  WaitKey Add(const WaitGroup& group,
              Urgency urgency,
              TimePoint deadline,
              Entry entry);
  void Remove(const WaitGroup& group, const WaitKey& key);
  // Removes and returns the first of the group.
  std::optional<Entry> TakeFirst(const WaitGroup& group);
  std::vector<WaitGroup> groups() const;
  bool empty() const { return groups_.empty(); }

 private:
  std::uint64_t next_sequence_ = 1;
  std::map<WaitGroup, std::map<WaitKey, Entry>> groups_;
};

}  // namespace jujubecove
