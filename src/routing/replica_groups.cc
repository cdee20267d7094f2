#include "routing/replica_groups.h"

#include <algorithm>
#include <utility>

#include "base/hash.h"

namespace jujubecove {

bool Replica::Holds(IndexVersion version) const {
  return std::find(index_versions.begin(), index_versions.end(), version) !=
         index_versions.end();
}

std::size_t ReplicaGroups::KeyHash::operator()(const KeyView& key) const {
  return Hash64(key.shard, Hash64(key.service, key.map_version));
}

ReplicaGroup* ReplicaGroups::Find(const ServiceName& service,
                                  ShardMapVersion map_version,
                                  const ShardId& shard) const {
  auto it = groups_.find(
      KeyView(service.value(), map_version.value(), shard.value()));
  return it == groups_.end() ? nullptr : it->second.get();
}

void ReplicaGroups::Add(const ServiceName& service,
                        SearcherIndex index,
                        Searcher& searcher,
                        const Holding& holding) {
  for (const ShardId& shard : holding.shards) {
    Key key{service.value(), holding.map_version.value(), shard.value()};
    std::unique_ptr<ReplicaGroup>& group = groups_[std::move(key)];
    if (!group) {
      group = std::make_unique<ReplicaGroup>();
      group->service = searcher.service;
      group->map_version = holding.map_version;
      group->shard = shard;
    }
    group->replicas.push_back(Replica{index, holding.index_versions});
    searcher.groups.push_back(group.get());
  }
}

void ReplicaGroups::RemoveSearcher(const ServiceName& service,
                                   SearcherIndex index,
                                   Searcher& searcher) {
  for (ReplicaGroup* group : searcher.groups) {
    std::erase_if(group->replicas, [index](const Replica& replica) {
      return replica.searcher == index;
    });
    if (!group->replicas.empty())
      continue;
    auto it = groups_.find(KeyView(service.value(), group->map_version.value(),
                                   group->shard.value()));
    groups_.erase(it);
  }
  searcher.groups.clear();
}

}  // namespace jujubecove
