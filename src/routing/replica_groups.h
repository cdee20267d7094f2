#pragma once

#include <cstddef>
#include <memory>
#include <string_view>
#include <unordered_map>

#include "base/ids.h"
#include "routing/searcher.h"

namespace jujubecove {

// The replica groups of all services, indexed by service, map and shard.
class ReplicaGroups {
 public:
  // Null if no searcher is known to hold the shard. The pointer is valid until
  // the last replica is removed from the group.
  ReplicaGroup* Find(const ServiceName& service,
                     ShardMapVersion map_version,
                     const ShardId& shard) const;
  void Add(const ServiceName& service,
           SearcherIndex index,
           Searcher& searcher,
           const Holding& holding);
  // Removes the searcher from all its groups.
  void RemoveSearcher(const ServiceName& service,
                      SearcherIndex index,
                      Searcher& searcher);

 private:
  struct Key {
    std::string service;
    std::uint64_t map_version;
    std::string shard;
  };
  struct KeyView {
    std::string_view service;
    std::uint64_t map_version;
    std::string_view shard;

    KeyView(std::string_view s, std::uint64_t m, std::string_view n)
        : service(s), map_version(m), shard(n) {}
    // Implicit, so that the table hashes and compares keys and views alike.
    // NOLINTNEXTLINE(google-explicit-constructor)
    KeyView(const Key& key)
        : service(key.service),
          map_version(key.map_version),
          shard(key.shard) {}
    friend bool operator==(const KeyView&, const KeyView&) = default;
  };
  struct KeyHash {
    using is_transparent = void;
    std::size_t operator()(const KeyView& key) const;
  };
  struct KeyEqual {
    using is_transparent = void;
    bool operator()(const KeyView& a, const KeyView& b) const { return a == b; }
  };

  std::unordered_map<Key, std::unique_ptr<ReplicaGroup>, KeyHash, KeyEqual>
      groups_;
};

}  // namespace jujubecove
