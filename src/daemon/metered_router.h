#pragma once

#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "routing/router.h"
#include "telemetry/metrics.h"

namespace jujubecove {

// Records metrics of the attempts that pass through a router.
class MeteredRouter : public Router {
 public:
  MeteredRouter(std::unique_ptr<Router> router, MetricsRegistry& metrics);

  void SetDocument(std::shared_ptr<const Document> document) override {
    router_->SetDocument(std::move(document));
  }
  void ApplyVmList(const std::vector<SearcherVm>& records) override {
    router_->ApplyVmList(records);
  }
  void ApplyReport(const SearcherReport& report) override {
    router_->ApplyReport(report);
  }
  void AddShardMap(const ServiceName& service,
                   std::shared_ptr<const ShardMap> map) override {
    router_->AddShardMap(service, std::move(map));
  }
  void SetLiveDaemons(std::size_t count) override {
    router_->SetLiveDaemons(count);
  }
  std::shared_ptr<const ShardMap> CurrentMap(
      const ServiceName& service) const override {
    return router_->CurrentMap(service);
  }
  std::optional<SnapshotPin> PickSnapshot(
      const ServiceName& service,
      const std::vector<SnapshotPin>& avoid) const override {
    return router_->PickSnapshot(service, avoid);
  }
  ReplicaChoice ChooseReplica(const ReplicaRequest& request) override {
    return router_->ChooseReplica(request);
  }
  void OnSend(const UpstreamRequest& request,
              const ServiceName& service) override;
  void OnReply(const UpstreamReply& reply) override;
  void OnFirstAttempt(const ServiceName& service) override;
  bool TryTakeRetryToken(const ServiceName& service) override;
  std::optional<Duration> HedgeDelay(
      const ServiceName& service) const override {
    return router_->HedgeDelay(service);
  }
  Duration EstimatedLatency(const ServiceName& service) const override {
    return router_->EstimatedLatency(service);
  }

 private:
  std::unique_ptr<Router> router_;
  Counter& first_attempts_;
  Counter& extra_attempts_;
  Counter& extra_attempts_denied_;
  Counter& attempts_sent_;
  std::vector<Counter*> outcomes_;
  Summary& attempt_seconds_;
};

}  // namespace jujubecove
