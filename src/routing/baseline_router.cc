#include "routing/baseline_router.h"

#include <algorithm>
#include <utility>

namespace jujubecove {

BaselineRouter::BaselineRouter(std::unique_ptr<Router> delegate,
                               std::uint64_t seed)
    : delegate_(std::move(delegate)), random_(seed) {}

void BaselineRouter::SetDocument(std::shared_ptr<const Document> document) {
  delegate_->SetDocument(std::move(document));
}

void BaselineRouter::ApplyVmList(const std::vector<SearcherVm>& vms) {
  delegate_->ApplyVmList(vms);
}

void BaselineRouter::ApplyReport(const SearcherReport& report) {
  reports_[report.service][report.searcher] = report;
  delegate_->ApplyReport(report);
}

void BaselineRouter::AddShardMap(const ServiceName& service,
                                 std::shared_ptr<const ShardMap> map) {
  delegate_->AddShardMap(service, std::move(map));
}

void BaselineRouter::SetLiveDaemons(std::size_t count) {
  delegate_->SetLiveDaemons(count);
}

std::shared_ptr<const ShardMap> BaselineRouter::CurrentMap(
    const ServiceName& service) const {
  return delegate_->CurrentMap(service);
}

std::optional<SnapshotPin> BaselineRouter::PickSnapshot(
    const ServiceName& service,
    const std::vector<SnapshotPin>& avoid) const {
  return delegate_->PickSnapshot(service, avoid);
}

bool BaselineRouter::Holds(const SearcherReport& report,
                           const ReplicaRequest& request) {
  return std::any_of(
      report.holdings.begin(), report.holdings.end(),
      [&request](const SearcherReport::Holding& it) {
        bool has_version =
            !request.index_version ||
            std::find(it.index_versions.begin(), it.index_versions.end(),
                      *request.index_version) != it.index_versions.end();
        return it.map_version == request.map_version && has_version &&
               std::find(it.shards.begin(), it.shards.end(), request.shard) !=
                   it.shards.end();
      });
}

ReplicaChoice BaselineRouter::ChooseReplica(const ReplicaRequest& request) {
  std::vector<SearcherId> replicas;
  for (const auto& [searcher, report] : reports_[request.service]) {
    bool was_tried = std::find(request.tried.begin(), request.tried.end(),
                               searcher) != request.tried.end();
    if (!report.draining && !was_tried && Holds(report, request))
      replicas.push_back(searcher);
  }
  if (replicas.empty())
    return ReplicaChoice{};
  std::uniform_int_distribution<std::size_t> draw(0, replicas.size() - 1);
  return ReplicaChoice{ReplicaChoiceStatus::kChosen, replicas[draw(random_)]};
}

void BaselineRouter::OnSend(const UpstreamRequest& request,
                            const ServiceName& service) {
  delegate_->OnSend(request, service);
}

void BaselineRouter::OnReply(const UpstreamReply& reply) {
  delegate_->OnReply(reply);
}

void BaselineRouter::OnFirstAttempt(const ServiceName& service) {
  delegate_->OnFirstAttempt(service);
}

bool BaselineRouter::TryTakeRetryToken(const ServiceName&) {
  return true;
}

std::optional<Duration> BaselineRouter::HedgeDelay(const ServiceName&) const {
  return std::nullopt;
}

Duration BaselineRouter::EstimatedLatency(const ServiceName& service) const {
  return delegate_->EstimatedLatency(service);
}

}  // namespace jujubecove
