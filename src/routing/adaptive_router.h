#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "base/random.h"
#include "kernel/timer_service.h"
#include "routing/outlier_detector.h"
#include "routing/replica_selector.h"
#include "routing/router.h"
#include "routing/searcher_directory.h"
#include "routing/service_routing_state.h"
#include "routing/snapshot_picker.h"

namespace jujubecove {

// Selects the replica with the least expected wait, under adaptive concurrency
// limits and with outlier ejection. It sets no timers: time-dependent state is
// evaluated on use.
class AdaptiveRouter : public Router {
 public:
  AdaptiveRouter(TimerService& timers, std::uint64_t seed);

  void SetDocument(std::shared_ptr<const Document> document) override;
  void ApplyVmList(const std::vector<SearcherVm>& vms) override;
  void ApplyReport(const SearcherReport& report) override;
  void AddShardMap(const ServiceName& service,
                   std::shared_ptr<const ShardMap> map) override;
  void SetLiveDaemons(std::size_t count) override;
  std::shared_ptr<const ShardMap> CurrentMap(
      const ServiceName& service) const override;
  std::optional<SnapshotPin> PickSnapshot(
      const ServiceName& service,
      const std::vector<SnapshotPin>& avoid) const override;
  ReplicaChoice ChooseReplica(const ReplicaRequest& request) override;
  void OnSend(const UpstreamRequest& request,
              const ServiceName& service) override;
  void OnReply(const UpstreamReply& reply) override;
  void OnFirstAttempt(const ServiceName& service) override;
  bool TryTakeRetryToken(const ServiceName& service) override;
  std::optional<Duration> HedgeDelay(const ServiceName& service) const override;
  Duration EstimatedLatency(const ServiceName& service) const override;

  // Number of ejected searchers of all services.
  std::size_t ejected_count() const;

 private:
  // An attempt in flight.
  struct Attempt {
    SearcherIndex searcher = kNoSearcher;
    bool probe = false;
    TimePoint sent;
    ShardMapVersion map_version;
    std::optional<IndexVersion> index_version;
  };
  // Cached map and pin of one service, valid for one generation of the
  // directory and until `until`.
  struct CachedPick {
    std::uint64_t generation = 0;
    TimePoint until{Duration::min()};
    std::shared_ptr<const ShardMap> map;
    std::optional<SnapshotPin> pin;
  };

  ServiceRoutingState& FindOrAddState(const ServiceName& service);
  const ServiceRoutingState* FindState(const ServiceName& service) const;
  const CachedPick& CachedPickOf(const ServiceName& service,
                                 ServiceIndex index) const;
  void Configure(Searcher& searcher);
  void ConfigureAll();
  ReplicaChoice ChooseWithoutGroup(const ReplicaRequest& request) const;
  void ObserveLoad(const UpstreamReply& reply,
                   Searcher& searcher,
                   TimePoint now);
  void ApplyOutcome(const UpstreamReply& reply,
                    const Attempt& attempt,
                    TimePoint now);
  void OnSuccess(const UpstreamReply& reply,
                 const Attempt& attempt,
                 TimePoint now);
  void OnUnanswered(const UpstreamReply& reply,
                    const Attempt& attempt,
                    TimePoint now);
  void OnFailure(const Attempt& attempt, bool unreachable, TimePoint now);

  TimerService& timers_;
  RandomEngine random_;
  SearcherDirectory directory_;
  ReplicaSelector selector_;
  SnapshotPicker picker_;
  OutlierDetector outlier_detector_;
  std::shared_ptr<const Document> document_;
  std::size_t live_daemons_ = 1;
  std::deque<ServiceRoutingState> services_;
  std::unordered_map<std::uint64_t, Attempt> attempts_;
  mutable std::vector<CachedPick> cached_picks_;
};

}  // namespace jujubecove
