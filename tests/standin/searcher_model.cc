#include "tests/standin/searcher_model.h"

#include <algorithm>
#include <utility>

namespace jujubecove::standin {

void EffectCounter::Record(const std::string& idempotency_key) {
  std::lock_guard<std::mutex> lock(mutex_);
  ++effects_[idempotency_key];
}

std::size_t EffectCounter::size() const {
  std::lock_guard<std::mutex> lock(mutex_);
  return effects_.size();
}

std::size_t EffectCounter::CountOf(const std::string& idempotency_key) const {
  std::lock_guard<std::mutex> lock(mutex_);
  auto it = effects_.find(idempotency_key);
  return it == effects_.end() ? 0 : it->second;
}

std::size_t EffectCounter::duplicates() const {
  std::lock_guard<std::mutex> lock(mutex_);
  return static_cast<std::size_t>(
      std::count_if(effects_.begin(), effects_.end(),
                    [](const auto& entry) { return entry.second > 1; }));
}

SearcherModel::SearcherModel(TimerService& timers,
                             SearcherParameters parameters,
                             std::shared_ptr<const ServiceTopology> topology,
                             std::shared_ptr<EffectCounter> effect_counter,
                             std::uint64_t seed)
    : timers_(timers),
      parameters_(std::move(parameters)),
      topology_(std::move(topology)),
      effect_counter_(std::move(effect_counter)),
      random_(seed) {}

bool SearcherModel::RandomBool(double share) {
  if (share <= 0.0)
    return false;
  return std::uniform_real_distribution<double>(0.0, 1.0)(random_) < share;
}

std::string SearcherModel::RefusalReason(const ExecuteRequest& request) {
  if (faults_.draining)
    return "draining";
  auto held = holdings_.find(request.map_version);
  if (held == holdings_.end() || held->second.empty() ||
      request.shard != topology_->IdOfShard(parameters_.shard))
    return "map";
  if (request.index_version && !faults_.ignores_pin &&
      held->second.count(*request.index_version) == 0)
    return "version";
  if (request.remaining <= Duration::zero())
    return "deadline";
  if (RandomBool(faults_.cold_share))
    return "cold";
  if (running_.size() >= parameters_.slots &&
      queue_.size() >= parameters_.queue_limit)
    return "busy";
  return {};
}

void SearcherModel::Execute(ExecuteRequest request, Done done) {
  Work work{std::move(request), std::move(done), {}, {}, {}};
  std::string reason = RefusalReason(work.request);
  if (!reason.empty()) {
    Refuse(work, reason);
    return;
  }
  work.expires = timers_.Now() + work.request.remaining;
  if (running_.size() >= parameters_.slots) {
    queue_.push_back(std::move(work));
    return;
  }
  Start(std::move(work));
}

void SearcherModel::Refuse(const Work& work, const std::string& reason) {
  ++refused_;
  ExecuteReply reply;
  reply.status = ExecuteStatus::kNotRun;
  reply.reason = reason;
  work.done(std::move(reply));
}

// The index version is chosen when execution starts, as a real searcher opens
// its index then. A version that was dropped while the request was queued is
// refused.
void SearcherModel::Start(Work work) {
  const std::set<IndexVersion>& held = holdings_[work.request.map_version];
  bool pinned = work.request.index_version && !faults_.ignores_pin;
  if (held.empty() ||
      (pinned && held.count(*work.request.index_version) == 0)) {
    Refuse(work, held.empty() ? "map" : "version");
    return;
  }
  work.read_version = pinned ? *work.request.index_version : *held.rbegin();
  ++executed_;
  last_start_ = timers_.Now();
  if (!work.request.idempotency_key.empty())
    effect_counter_->Record(work.request.idempotency_key);
  std::uniform_real_distribution<double> spread(1.0 - parameters_.spread,
                                                1.0 + parameters_.spread);
  double time = static_cast<double>(parameters_.service_time.count()) *
                spread(random_) * faults_.slow_factor;
  std::uint64_t id = next_work_++;
  work.timer = timers_.ScheduleAfter(Duration(static_cast<std::int64_t>(time)),
                                     [this, id] { Finish(id); });
  running_.emplace(id, std::move(work));
}

void SearcherModel::Finish(std::uint64_t id) {
  auto it = running_.find(id);
  if (it == running_.end())
    return;
  Work work = std::move(it->second);
  running_.erase(it);
  StartQueued();
  work.done(MakeReply(work));
}

ExecuteReply SearcherModel::MakeReply(const Work& work) {
  ExecuteReply reply;
  if (RandomBool(faults_.lost_reply_share)) {
    reply.status = ExecuteStatus::kNoReply;
    return reply;
  }
  if (RandomBool(faults_.fail_share)) {
    reply.status = ExecuteStatus::kFailed;
    return reply;
  }
  reply.shard = work.request.shard;
  reply.map_version = work.request.map_version;
  reply.index_version = work.read_version;
  reply.body = topology_->RecordsOf(reply.map_version, parameters_.shard,
                                    reply.index_version);
  return reply;
}

void SearcherModel::StartQueued() {
  while (!queue_.empty() && running_.size() < parameters_.slots) {
    Work work = std::move(queue_.front());
    queue_.pop_front();
    if (work.expires <= timers_.Now())
      Refuse(work, "deadline");
    else
      Start(std::move(work));
  }
}

void SearcherModel::Cancel(const std::string& attempt) {
  for (auto it = queue_.begin(); it != queue_.end(); ++it) {
    if (it->request.attempt != attempt)
      continue;
    Work work = std::move(*it);
    queue_.erase(it);
    Refuse(work, "cancelled");
    return;
  }
  for (auto it = running_.begin(); it != running_.end(); ++it) {
    if (it->second.request.attempt != attempt ||
        !it->second.request.idempotency_key.empty())
      continue;
    Work work = std::move(it->second);
    timers_.Cancel(work.timer);
    running_.erase(it);
    StartQueued();
    Refuse(work, "cancelled");
    return;
  }
}

void SearcherModel::Hold(ShardMapVersion map_version,
                         IndexVersion index_version) {
  if (holdings_[map_version].insert(index_version).second)
    ++generation_;
}

void SearcherModel::Drop(ShardMapVersion map_version,
                         IndexVersion index_version) {
  auto it = holdings_.find(map_version);
  if (it == holdings_.end() || it->second.erase(index_version) == 0)
    return;
  ++generation_;
  if (it->second.empty())
    holdings_.erase(it);
}

bool SearcherModel::Holds(ShardMapVersion map_version,
                          IndexVersion index_version) const {
  auto it = holdings_.find(map_version);
  return it != holdings_.end() && it->second.count(index_version) != 0;
}

void SearcherModel::SetFaults(const SearcherFaults& faults) {
  if (faults.draining != faults_.draining)
    ++generation_;
  faults_ = faults;
}

std::uint32_t SearcherModel::reported_in_flight() const {
  return faults_.reported_in_flight.value_or(
      static_cast<std::uint32_t>(in_flight()));
}

SearcherReport SearcherModel::Report() const {
  SearcherReport report;
  report.searcher = parameters_.id;
  report.service = topology_->name();
  report.slots = parameters_.slots;
  report.in_flight = reported_in_flight();
  report.draining = faults_.draining;
  report.healthy = faults_.reported_healthy.value_or(true);
  for (const auto& [map_version, index_versions] : holdings_) {
    SearcherReport::Holding holding;
    holding.map_version = map_version;
    holding.shards.push_back(topology_->IdOfShard(parameters_.shard));
    holding.index_versions.assign(index_versions.begin(), index_versions.end());
    report.holdings.push_back(std::move(holding));
  }
  return report;
}

}  // namespace jujubecove::standin
