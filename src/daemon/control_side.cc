#include "daemon/control_side.h"

#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <utility>

#include "base/random.h"

namespace jujubecove {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kRingTasks = 4'096;
// Several changes of the store that come together are handed over once.
constexpr Duration kPushDelay = milliseconds(10);
// What found the ring full is handed over again.
constexpr Duration kPushRetry = milliseconds(100);
constexpr Duration kLogFlushInterval = milliseconds(200);
constexpr std::size_t kLogBufferBytes = 64U << 10U;
constexpr int kLogLinesPerSecond = 100;
constexpr Duration kStoreCallTimeout = milliseconds(1000);
constexpr Duration kStoreWatchWait = milliseconds(2500);
// Daemons that may join before the others have learned of them.
constexpr std::size_t kSpareDaemons = 1;
// Others learn of a joining daemon, and close connections above their smaller
// share, within this time. Until then it has one connection to each searcher.
constexpr Duration kJoinTime = std::chrono::seconds(2);

}  // namespace

ControlSide::ControlSide(DutyThread& thread,
                         DutyThread& query_thread,
                         QuerySide& query,
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
      directory_(thread.timers(),
                 store_,
                 codec_,
                 log_,
                 {config.vm, config.zone, kStoreWatchWait, SystemSeed()},
                 DirectoryCallbacks()),
      to_query_(MakeTaskRing(query_thread.context(), kRingTasks)),
      live_daemons_(metrics.AddGauge("jujubecove_daemons_live",
                                     "Entry daemons taken for live, this one "
                                     "included.")),
      platform_reachable_(metrics.AddGauge("jujubecove_platform_reachable",
                                           "1 while the store answers.")) {}

DiscoveryClient::Callbacks ControlSide::DirectoryCallbacks() {
  return {.table_changed = [](const RouteTablePtr&) {},
          .searcher_changed =
              [this](SearcherChange change, const SearcherEntry& entry) {
                OnSearcher(change, entry);
              },
          .fleet_size_changed = [this](int size) { OnFleetSize(size); }};
}

void ControlSide::Start(ShareHandler handler,
                        std::shared_ptr<const Document> document) {
  share_handler_ = std::move(handler);
  document_ = std::move(document);
  document_due_ = document_ != nullptr;
  directory_.Start();
  Push();
  FlushLog();
}

void ControlSide::SetDocument(std::shared_ptr<const Document> document) {
  document_ = std::move(document);
  document_due_ = true;
  Push();
}

void ControlSide::AnnounceLeaving() {
  directory_.Leave([] {});
}

void ControlSide::OnSearcher(SearcherChange change,
                             const SearcherEntry& entry) {
  if (change == SearcherChange::kGone) {
    searchers_.erase(entry.id);
  } else {
    searchers_[entry.id] =
        SearcherVm{VmId(entry.id.value()), entry.zone,
                   SearcherId(entry.address.ToString()), entry.service,
                   change == SearcherChange::kDraining};
  }
  searchers_due_ = true;
  Push();
}

void ControlSide::OnFleetSize(int size) {
  if (!joined_at_) {
    joined_at_ = thread_.timers().Now() + kJoinTime;
    thread_.timers().ScheduleAt(*joined_at_, [this] { Push(); });
  }
  fleet_size_ = static_cast<std::size_t>(std::max(size, 1));
  fleet_due_ = true;
  Push();
}

void ControlSide::Push() {
  if (push_scheduled_)
    return;
  push_scheduled_ = true;
  thread_.timers().ScheduleAfter(kPushDelay, [this] {
    push_scheduled_ = false;
    ApplyShares();
    PushToQuery();
  });
}

void ControlSide::PushToQuery() {
  if (document_due_ && to_query_->TryPush([query = &query_, doc = document_] {
        query->SetDocument(doc);
      }))
    document_due_ = false;
  std::vector<SearcherVm> searchers;
  for (const auto& [id, searcher] : searchers_)
    searchers.push_back(searcher);
  if (searchers_due_ && to_query_->TryPush([query = &query_, searchers] {
        query->ApplyVmList(searchers);
      }))
    searchers_due_ = false;
  if (fleet_due_ && to_query_->TryPush([query = &query_, size = fleet_size_] {
        query->SetLiveDaemons(size);
      }))
    fleet_due_ = false;
  if (document_due_ || searchers_due_ || fleet_due_)
    thread_.timers().ScheduleAfter(kPushRetry, [this] { Push(); });
}

// A searcher that leaves gets no share: its connections close once the
// requests on them have ended.
void ControlSide::ApplyShares() {
  std::map<SearcherId, std::size_t> shares;
  bool joining = !joined_at_ || thread_.timers().Now() < *joined_at_;
  for (const auto& [id, it] : searchers_) {
    if (!document_ || it.leaving)
      continue;
    auto service = document_->services.find(it.service);
    if (service == document_->services.end())
      continue;
    std::size_t share =
        service->second.connections / (fleet_size_ + kSpareDaemons);
    shares[it.searcher] = joining ? 1 : std::max<std::size_t>(share, 1);
  }
  for (const auto& [searcher, share] : given_shares_) {
    if (!shares.contains(searcher))
      share_handler_(searcher, 0);
  }
  for (const auto& [searcher, share] : shares) {
    auto given = given_shares_.find(searcher);
    if (given == given_shares_.end() || given->second != share)
      share_handler_(searcher, share);
  }
  given_shares_ = std::move(shares);
}

void ControlSide::FlushLog() {
  live_daemons_.Set(static_cast<double>(fleet_size_));
  platform_reachable_.Set(directory_.IsStoreConnected() ? 1 : 0);
  sink_.Flush();
  thread_.timers().ScheduleAfter(kLogFlushInterval, [this] { FlushLog(); });
}

}  // namespace jujubecove
