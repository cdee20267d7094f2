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
#include "routing/service_state.h"
#include "routing/snapshot_picker.h"

namespace jujubecove {

// The router: least expected wait under adaptive limits, with ejection of
// outliers. It sets no timers; what depends on time is evaluated when it is
// asked for.
class AdaptiveRouter : public Router {
 public:
  AdaptiveRouter(TimerService& timers, std::uint64_t seed);

  void SetDocument(std::shared_ptr<const Document> document) override;
  void ApplyVmList(const std::vector<SearcherVm>& records) override;
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

  // Ejected searchers of all services.
  std::size_t ejected_count() const;

 private:
  // What is remembered of an attempt until its reply.
  struct Attempt {
    SearcherIndex searcher = kNoSearcher;
    bool probe = false;
    TimePoint sent;
    ShardMapVersion map_version;
    std::optional<IndexVersion> index_version;
  };
  // The last choices of one service; valid for one generation of the directory
  // and a short time.
  struct Memo {
    std::uint64_t generation = 0;
    TimePoint until{Duration::min()};
    std::shared_ptr<const ShardMap> map;
    std::optional<SnapshotPin> pin;
  };

  ServiceState& StateOf(const ServiceName& service);
  const ServiceState* FindState(const ServiceName& service) const;
  const Memo& MemoOf(const ServiceName& service, ServiceIndex index) const;
  void Configure(Searcher& searcher);
  void ConfigureAll();
  ReplicaChoice ChooseWithoutGroup(const ReplicaRequest& request) const;
  void TakeLoad(const UpstreamReply& reply, Searcher& searcher, TimePoint now);
  void TakeOutcome(const UpstreamReply& reply,
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
  OutlierDetector judge_;
  std::shared_ptr<const Document> document_;
  std::size_t live_daemons_ = 1;
  std::deque<ServiceState> services_;
  std::unordered_map<std::uint64_t, Attempt> attempts_;
  mutable std::vector<Memo> memos_;
};

}  // namespace jujubecove
