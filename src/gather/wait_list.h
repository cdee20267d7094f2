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

// Identifies the waiting shards that compete for the same replicas, by map and
// index in the map.
struct WaitGroup {
  ShardMapVersion map_version;
  std::size_t shard = 0;

  friend auto operator<=>(const WaitGroup&, const WaitGroup&) = default;
};

// Orders waiting shards by urgency, then earliest deadline first, then by
// arrival.
struct WaitKey {
  Urgency urgency = Urgency::kNormal;
  TimePoint deadline;
  std::uint64_t sequence = 0;

  friend auto operator<=>(const WaitKey&, const WaitKey&) = default;
};

// Shards that wait until a replica is below its concurrency limit, for all
// queries of one service.
class WaitList {
 public:
  struct Entry {
    std::shared_ptr<QueryRun> run;
    std::size_t shard = 0;
  };

  // Returns the key for Remove.
  WaitKey Add(const WaitGroup& group,
              Urgency urgency,
              TimePoint deadline,
              Entry entry);
  void Remove(const WaitGroup& group, const WaitKey& key);
  // Removes and returns the first entry of the group.
  std::optional<Entry> TakeFirst(const WaitGroup& group);
  std::vector<WaitGroup> groups() const;
  bool empty() const { return groups_.empty(); }

 private:
  std::uint64_t next_sequence_ = 1;
  std::map<WaitGroup, std::map<WaitKey, Entry>> groups_;
};

}  // namespace jujubecove
