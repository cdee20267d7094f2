#include "routing/baseline_router.h"

#include <algorithm>
#include <utility>

namespace jujubecove {

BaselineRouter::BaselineRouter(std::unique_ptr<Router> directory,
                               std::uint64_t seed)
    : directory_(std::move(directory)), random_(seed) {}

void BaselineRouter::SetDocument(std::shared_ptr<const Document> document) {
  directory_->SetDocument(std::move(document));
}

void BaselineRouter::ApplyVmList(const std::vector<SearcherVm>& records) {
  directory_->ApplyVmList(records);
}

void BaselineRouter::ApplyReport(const SearcherReport& report) {
  reports_[report.service][report.searcher] = report;
  directory_->ApplyReport(report);
}

void BaselineRouter::AddShardMap(const ServiceName& service,
                                 std::shared_ptr<const ShardMap> map) {
  directory_->AddShardMap(service, std::move(map));
}

void BaselineRouter::SetLiveDaemons(std::size_t count) {
  directory_->SetLiveDaemons(count);
}

std::shared_ptr<const ShardMap> BaselineRouter::CurrentMap(
    const ServiceName& service) const {
  return directory_->CurrentMap(service);
}

std::optional<SnapshotPin> BaselineRouter::PickSnapshot(
    const ServiceName& service,
    const std::vector<SnapshotPin>& avoid) const {
  return directory_->PickSnapshot(service, avoid);
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
  directory_->OnSend(request, service);
}

void BaselineRouter::OnReply(const UpstreamReply& reply) {
  directory_->OnReply(reply);
}

void BaselineRouter::OnFirstAttempt(const ServiceName& service) {
  directory_->OnFirstAttempt(service);
}

bool BaselineRouter::TryTakeRetryToken(const ServiceName&) {
  return true;
}

std::optional<Duration> BaselineRouter::HedgeDelay(const ServiceName&) const {
  return std::nullopt;
}

Duration BaselineRouter::EstimatedLatency(const ServiceName& service) const {
  return directory_->EstimatedLatency(service);
}

}  // namespace jujubecove
