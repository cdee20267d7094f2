#include "daemon/control_plane.h"

#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <utility>

#include "base/random.h"

namespace jujubecove {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kQueryTaskCapacity = 4'096;
// Batches changes of the store that arrive together.
constexpr Duration kUpdateDelay = milliseconds(10);
// Delay before updates that found the channel full are sent again.
constexpr Duration kUpdateRetryDelay = milliseconds(100);
constexpr Duration kTelemetryFlushInterval = milliseconds(200);
constexpr std::size_t kLogBufferBytes = 64U << 10U;
constexpr int kLogLinesPerSecond = 100;
constexpr Duration kStoreCallTimeout = milliseconds(1000);
constexpr Duration kStoreWatchWait = milliseconds(2500);
// Connections are reserved for this many daemons that the others have not
// discovered yet.
constexpr std::size_t kJoiningDaemons = 1;
// Within this time the other daemons discover a joining daemon and close the
// connections above their reduced share. Until then the joining daemon opens
// only one connection to each searcher.
constexpr Duration kJoinTime = std::chrono::seconds(2);

DaemonEntry OwnEntry(const DaemonConfig& config) {
  DaemonEntry entry;
  entry.vm = config.vm;
  entry.zone = config.zone;
  return entry;
}

}  // namespace

ControlPlane::ControlPlane(EventLoopThread& thread,
                           EventLoopThread& query_thread,
                           QueryPipeline& query,
                           const DaemonConfig& config,
                           MetricsRegistry& metrics)
    : thread_(thread),
      query_(query),
      sink_(STDOUT_FILENO, kLogBufferBytes),
      log_(sink_, config.vm.value(), kLogLinesPerSecond),
      store_(thread.context(),
             thread.timers(),
             config.platform,
             kStoreCallTimeout),
      discovery_(thread.timers(),
                 store_,
                 codec_,
                 log_,
                 {OwnEntry(config), kStoreWatchWait, SystemSeed()},
                 DiscoveryCallbacks()),
      query_tasks_(MakeTaskChannel(query_thread.context(), kQueryTaskCapacity)),
      live_daemons_(metrics.AddGauge("jujubecove_daemons_live",
                                     "Live entry daemons, including this "
                                     "one.")),
      platform_reachable_(metrics.AddGauge("jujubecove_platform_reachable",
                                           "1 while the store is reachable.")) {
}

DiscoveryClient::Callbacks ControlPlane::DiscoveryCallbacks() {
  return {.table_changed = [](const RouteTablePtr&) {},
          .searcher_changed =
              [this](SearcherChange change, const SearcherEntry& entry) {
                OnSearcherChange(change, entry);
              },
          .fleet_size_changed = [this](int size) { OnFleetSizeChange(size); }};
}

void ControlPlane::Start(ConnectionShareHandler handler,
                         std::shared_ptr<const Document> document) {
  share_handler_ = std::move(handler);
  document_ = std::move(document);
  document_pending_ = document_ != nullptr;
  discovery_.Start();
  ScheduleUpdate();
  FlushTelemetry();
}

void ControlPlane::SetDocument(std::shared_ptr<const Document> document) {
  document_ = std::move(document);
  document_pending_ = true;
  ScheduleUpdate();
}

void ControlPlane::AnnounceDraining() {
  discovery_.Leave([] {});
}

void ControlPlane::OnSearcherChange(SearcherChange change,
                                    const SearcherEntry& entry) {
  if (change == SearcherChange::kGone) {
    searchers_.erase(entry.id);
  } else {
    searchers_[entry.id] =
        SearcherVm{VmId(entry.id.value()), entry.zone,
                   SearcherId(entry.address.ToString()), entry.service,
                   change == SearcherChange::kDraining};
  }
  searchers_pending_ = true;
  ScheduleUpdate();
}

void ControlPlane::OnFleetSizeChange(int size) {
  if (!full_share_at_) {
    full_share_at_ = thread_.timers().Now() + kJoinTime;
    thread_.timers().ScheduleAt(*full_share_at_, [this] { ScheduleUpdate(); });
  }
  fleet_size_ = static_cast<std::size_t>(std::max(size, 1));
  fleet_size_pending_ = true;
  ScheduleUpdate();
}

void ControlPlane::ScheduleUpdate() {
  if (update_scheduled_)
    return;
  update_scheduled_ = true;
  thread_.timers().ScheduleAfter(kUpdateDelay, [this] {
    update_scheduled_ = false;
    UpdateConnectionShares();
    SendPendingUpdates();
  });
}

void ControlPlane::SendPendingUpdates() {
  if (document_pending_ &&
      query_tasks_->TryPush(
          [query = &query_, doc = document_] { query->SetDocument(doc); }))
    document_pending_ = false;
  std::vector<SearcherVm> searchers;
  for (const auto& [id, searcher] : searchers_)
    searchers.push_back(searcher);
  if (searchers_pending_ && query_tasks_->TryPush([query = &query_, searchers] {
        query->ApplyVmList(searchers);
      }))
    searchers_pending_ = false;
  if (fleet_size_pending_ &&
      query_tasks_->TryPush([query = &query_, size = fleet_size_] {
        query->SetLiveDaemons(size);
      }))
    fleet_size_pending_ = false;
  if (document_pending_ || searchers_pending_ || fleet_size_pending_)
    thread_.timers().ScheduleAfter(kUpdateRetryDelay,
                                   [this] { ScheduleUpdate(); });
}

// A draining searcher gets no share: its connections close when the requests
// on them have finished.
void ControlPlane::UpdateConnectionShares() {
  std::map<SearcherId, std::size_t> shares;
  bool joining = !full_share_at_ || thread_.timers().Now() < *full_share_at_;
  for (const auto& [id, it] : searchers_) {
    if (!document_ || it.leaving)
      continue;
    auto service = document_->services.find(it.service);
    if (service == document_->services.end())
      continue;
    std::size_t share =
        service->second.connections / (fleet_size_ + kJoiningDaemons);
    shares[it.searcher] = joining ? 1 : std::max<std::size_t>(share, 1);
  }
  for (const auto& [searcher, share] : applied_shares_) {
    if (!shares.contains(searcher))
      share_handler_(searcher, 0);
  }
  for (const auto& [searcher, share] : shares) {
    auto applied = applied_shares_.find(searcher);
    if (applied == applied_shares_.end() || applied->second != share)
      share_handler_(searcher, share);
  }
  applied_shares_ = std::move(shares);
}

void ControlPlane::FlushTelemetry() {
  live_daemons_.Set(static_cast<double>(fleet_size_));
  platform_reachable_.Set(discovery_.IsStoreConnected() ? 1 : 0);
  sink_.Flush();
  thread_.timers().ScheduleAfter(kTelemetryFlushInterval,
                                 [this] { FlushTelemetry(); });
}

}  // namespace jujubecove
