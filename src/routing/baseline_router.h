#pragma once

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/random.h"
#include "routing/router.h"

namespace jujubecove {

// Baseline for experiments: chooses a random replica that holds the version,
// ignores observed latency and load, and never hedges. Everything else is
// delegated to another router.
class BaselineRouter : public Router {
 public:
  BaselineRouter(std::unique_ptr<Router> delegate, std::uint64_t seed);

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

 private:
  static bool Holds(const SearcherReport& report,
                    const ReplicaRequest& request);

  std::unique_ptr<Router> delegate_;
  RandomEngine random_;
  std::unordered_map<ServiceName,
                     std::unordered_map<SearcherId, SearcherReport>>
      reports_;
};

}  // namespace jujubecove
