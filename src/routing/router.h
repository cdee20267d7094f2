#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "base/ids.h"
#include "base/units.h"
#include "document/document.h"
#include "shard/shard_map.h"
#include "upstream/upstream_transport.h"

namespace jujubecove {

// One VM of the platform's list. For an upstream VM `searcher` is its address.
struct SearcherVm {
  VmId id;
  ZoneName zone;
  SearcherId searcher;
  ServiceName service;
  bool leaving = false;
};

// The map and index version under which one query reads.
struct SnapshotPin {
  std::shared_ptr<const ShardMap> map;
  IndexVersion index_version;
};

// A shard of one query for which a replica is wanted.
struct ReplicaRequest {
  ServiceName service;
  ShardMapVersion map_version;
  ShardId shard;
  // Set for a kind that reads a snapshot.
  std::optional<IndexVersion> index_version;
  bool idempotent = true;
  // Searchers that this shard of this query has tried already.
  std::vector<SearcherId> tried;
};

enum class ReplicaChoiceStatus : std::uint8_t {
  kChosen,
  // Every usable replica is at its concurrency limit: wait for a reply.
  kAllAtLimit,
  // Replicas live, but none is known to hold the version.
  kVersionUnavailable,
  kNoReplica,
};

struct ReplicaChoice {
  ReplicaChoiceStatus status = ReplicaChoiceStatus::kNoReplica;
  SearcherId searcher;
  // The searcher is an outlier that is tried again, so a hedge should not wait.
  bool probe = false;
};

// Decides where attempts go. It owns what is known of searchers: the
// platform's list, their reports and this daemon's own observations, and is
// told of every send and reply.
class Router {
 public:
  virtual ~Router() = default;

  virtual void SetDocument(std::shared_ptr<const Document> document) = 0;
  virtual void ApplyVmList(const std::vector<SearcherVm>& records) = 0;
  virtual void ApplyReport(const SearcherReport& report) = 0;
  virtual void AddShardMap(const ServiceName& service,
                           std::shared_ptr<const ShardMap> map) = 0;
  // Number of entry daemons that share the searchers' slots.
  virtual void SetLiveDaemons(std::size_t count) = 0;

  // The newest map of the service that usable searchers hold; null when none.
  virtual std::shared_ptr<const ShardMap> CurrentMap(
      const ServiceName& service) const = 0;
  // The newest common version other than those in `avoid`.
  virtual std::optional<SnapshotPin> PickSnapshot(
      const ServiceName& service,
      const std::vector<SnapshotPin>& avoid) const = 0;

  virtual ReplicaChoice ChooseReplica(const ReplicaRequest& request) = 0;
  virtual void OnSend(const UpstreamRequest& request,
                      const ServiceName& service) = 0;
  virtual void OnReply(const UpstreamReply& reply) = 0;

  // A first attempt was sent; it earns a share of a repeat.
  virtual void OnFirstAttempt(const ServiceName& service) = 0;
  // Takes a retry or hedge from the budget; false when it is spent.
  virtual bool TryTakeRetryToken(const ServiceName& service) = 0;
  // How long a shard may wait before a hedge; nothing when hedges are off.
  virtual std::optional<Duration> HedgeDelay(
      const ServiceName& service) const = 0;
  // Typical time of one attempt, for early refusal.
  virtual Duration EstimatedLatency(const ServiceName& service) const = 0;
};

}  // namespace jujubecove
