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

// The shard map and index version that one query reads on all its shards.
struct SnapshotPin {
  std::shared_ptr<const ShardMap> map;
  IndexVersion index_version;
};

// Asks for a replica that serves one shard of one query.
struct ReplicaRequest {
  ServiceName service;
  ShardMapVersion map_version;
  ShardId shard;
  // Set for kinds that read a snapshot.
  std::optional<IndexVersion> index_version;
  bool idempotent = true;
  // Searchers already tried for this shard of this query.
  std::vector<SearcherId> tried;
};

enum class ReplicaChoiceStatus : std::uint8_t {
  kChosen,
  // Every usable replica is at its concurrency limit; choose again after a
  // reply.
  kAllAtLimit,
  // There are replicas, but none is known to hold the index version.
  kVersionUnavailable,
  kNoReplica,
};

struct ReplicaChoice {
  ReplicaChoiceStatus status = ReplicaChoiceStatus::kNoReplica;
  SearcherId searcher;
  // The attempt probes whether an ejected or long unused searcher has
  // recovered, so it should be hedged without the usual delay.
  bool probe = false;
};

// Selects the searcher for each attempt, from the platform's VM list, the
// searchers' reports and the outcomes of this daemon's own attempts. Every send
// and reply must be passed to it.
class Router {
 public:
  virtual ~Router() = default;

  virtual void SetDocument(std::shared_ptr<const Document> document) = 0;
  virtual void ApplyVmList(const std::vector<SearcherVm>& vms) = 0;
  virtual void ApplyReport(const SearcherReport& report) = 0;
  virtual void AddShardMap(const ServiceName& service,
                           std::shared_ptr<const ShardMap> map) = 0;
  // Number of entry daemons that share the searchers' slots.
  virtual void SetLiveDaemons(std::size_t count) = 0;

  // The newest shard map that the service's searchers can serve; null if there
  // is none.
  virtual std::shared_ptr<const ShardMap> CurrentMap(
      const ServiceName& service) const = 0;
  // The newest version that every shard can serve, except those in `avoid`.
  virtual std::optional<SnapshotPin> PickSnapshot(
      const ServiceName& service,
      const std::vector<SnapshotPin>& avoid) const = 0;

  virtual ReplicaChoice ChooseReplica(const ReplicaRequest& request) = 0;
  virtual void OnSend(const UpstreamRequest& request,
                      const ServiceName& service) = 0;
  virtual void OnReply(const UpstreamReply& reply) = 0;

  // Called for each first attempt; adds to the retry and hedge budget.
  virtual void OnFirstAttempt(const ServiceName& service) = 0;
  // Takes one retry or hedge from the budget; false if it is exhausted.
  virtual bool TryTakeRetryToken(const ServiceName& service) = 0;
  // How long an attempt may run before it is hedged; nullopt while hedging is
  // off.
  virtual std::optional<Duration> HedgeDelay(
      const ServiceName& service) const = 0;
  // Latency estimate of one attempt, for refusing queries whose deadline can't
  // be met.
  virtual Duration EstimatedLatency(const ServiceName& service) const = 0;
};

}  // namespace jujubecove
