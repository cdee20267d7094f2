#include "tests/standin/fake_fleet.h"

#include <utility>

namespace jujubecove::standin {

FakeFleet::FakeFleet(TimerService& timers, std::uint64_t seed)
    : timers_(timers),
      random_(seed),
      effect_counter_(std::make_shared<EffectCounter>()) {}

SearcherId FakeFleet::IdOf(const ServiceName& service,
                           std::size_t shard,
                           std::size_t replica) {
  return SearcherId(service.value() + "/" + std::to_string(shard) + "/" +
                    std::to_string(replica));
}

void FakeFleet::AddService(const FleetService& service) {
  Service entry;
  entry.topology = std::make_shared<ServiceTopology>(
      service.name, service.shards, service.buckets);
  for (std::size_t shard = 0; shard < service.shards; ++shard) {
    for (std::size_t replica = 0; replica < service.replicas; ++replica) {
      SearcherParameters parameters = service.parameters;
      parameters.id = IdOf(service.name, shard, replica);
      parameters.shard = shard;
      std::unique_ptr<SearcherModel> searcher = std::make_unique<SearcherModel>(
          timers_, parameters, entry.topology, effect_counter_, random_());
      searcher->Hold(ShardMapVersion(1), IndexVersion(1));
      entry.searchers.push_back(parameters.id);
      searchers_.emplace(parameters.id, std::move(searcher));
    }
  }
  services_.emplace(service.name, std::move(entry));
}

std::vector<SearcherId> FakeFleet::SearchersOf(
    const ServiceName& service) const {
  return services_.at(service).searchers;
}

std::vector<SearcherVm> FakeFleet::VmList() const {
  std::vector<SearcherVm> records;
  for (const auto& [name, service] : services_) {
    for (const SearcherId& id : service.searchers) {
      SearcherVm record;
      record.id = VmId(id.value());
      record.zone = ZoneName("zone" + id.value().substr(id.value().rfind('/')));
      record.searcher = id;
      record.service = name;
      record.leaving = leaving_.count(id) != 0;
      records.push_back(std::move(record));
    }
  }
  return records;
}

void FakeFleet::UpdateRouter(Router& router) const {
  router.ApplyVmList(VmList());
  for (const auto& [name, service] : services_) {
    std::set<ShardMapVersion> versions;
    for (const SearcherId& id : service.searchers) {
      for (const SearcherReport::Holding& it :
           searchers_.at(id)->Report().holdings)
        versions.insert(it.map_version);
    }
    for (ShardMapVersion version : versions)
      router.AddShardMap(name, service.topology->MapOf(version));
    for (const SearcherId& id : service.searchers) {
      if (!searchers_.at(id)->faults().down)
        router.ApplyReport(searchers_.at(id)->Report());
    }
  }
}

void FakeFleet::UpdateRouterPeriodically(Router& router, Duration period) {
  UpdateRouter(router);
  timers_.ScheduleAfter(period, [this, &router, period] {
    UpdateRouterPeriodically(router, period);
  });
}

FakeTransport::FakeTransport(FakeFleet& fleet, std::uint64_t seed)
    : fleet_(fleet), instance_(seed), random_(seed) {}

FakeTransport::~FakeTransport() {
  *alive_ = false;
}

void FakeTransport::SetReplyHandler(ReplyHandler handler) {
  handler_ = std::move(handler);
}

bool FakeTransport::RandomBool(double share) {
  if (share <= 0.0)
    return false;
  return std::uniform_real_distribution<double>(0.0, 1.0)(random_) < share;
}

std::string FakeTransport::AttemptTag(AttemptId id) const {
  return std::to_string(instance_) + "-" + std::to_string(id.value());
}

std::uint64_t FakeTransport::sent_to(const SearcherId& id) const {
  auto it = sent_to_.find(id);
  return it == sent_to_.end() ? 0 : it->second;
}

void FakeTransport::Send(UpstreamRequest request) {
  AttemptId id = request.attempt;
  SearcherId searcher = request.searcher;
  ++sent_;
  ++sent_to_[searcher];
  TimePoint now = fleet_.timers().Now();
  TimePoint deadline = request.deadline;
  Attempt& attempt = attempts_[id];
  attempt.request = std::move(request);
  attempt.sent_at = now;
  std::shared_ptr<bool> alive = alive_;
  bool unreachable = !fleet_.Has(searcher) ||
                     fleet_.searcher(searcher).faults().down ||
                     faults_.unreachable.count(searcher) != 0;
  bool silent = faults_.silent.count(searcher) != 0;
  AttemptOutcome limit_outcome = AttemptOutcome::kTimedOut;
  if (silent && now + faults_.silence_timeout < deadline) {
    deadline = now + faults_.silence_timeout;
    limit_outcome = AttemptOutcome::kSilent;
  }
  attempt.limit =
      fleet_.timers().ScheduleAt(deadline, [this, alive, id, limit_outcome] {
        if (*alive)
          FinishWithoutReply(id, limit_outcome, Execution::kUnknown);
      });
  fleet_.timers().ScheduleAfter(
      faults_.one_way_delay, [this, alive, id, unreachable, silent] {
        if (!*alive)
          return;
        if (unreachable)
          FinishWithoutReply(id, AttemptOutcome::kConnectFailed,
                             Execution::kNotRun);
        else if (!silent)
          DeliverRequest(id);
      });
}

void FakeTransport::DeliverRequest(AttemptId id) {
  auto it = attempts_.find(id);
  if (it == attempts_.end())
    return;
  const UpstreamRequest& sent = it->second.request;
  ExecuteRequest request;
  request.attempt = AttemptTag(id);
  request.shard = sent.shard;
  request.map_version = sent.map_version;
  request.index_version = sent.index_version;
  request.remaining = sent.deadline - fleet_.timers().Now();
  request.idempotency_key = sent.idempotency_key;
  std::shared_ptr<bool> alive = alive_;
  SearcherModel& searcher = fleet_.searcher(sent.searcher);
  searcher.Execute(std::move(request), [this, alive, id](ExecuteReply reply) {
    if (!*alive)
      return;
    fleet_.timers().ScheduleAfter(faults_.one_way_delay,
                                  [this, alive, id, reply = std::move(reply)] {
                                    if (*alive)
                                      OnReply(id, reply);
                                  });
  });
}

namespace {

AttemptOutcome OutcomeOfRefusal(const std::string& reason) {
  if (reason == "draining")
    return AttemptOutcome::kRefusedDraining;
  if (reason == "version")
    return AttemptOutcome::kRefusedVersion;
  if (reason == "map")
    return AttemptOutcome::kRefusedMap;
  if (reason == "cold")
    return AttemptOutcome::kRefusedCold;
  if (reason == "deadline")
    return AttemptOutcome::kRefusedDeadline;
  if (reason == "cancelled")
    return AttemptOutcome::kCancelled;
  return AttemptOutcome::kRefusedBusy;
}

}  // namespace

void FakeTransport::OnReply(AttemptId id, const ExecuteReply& reply) {
  auto it = attempts_.find(id);
  if (it == attempts_.end())
    return;
  if (reply.status == ExecuteStatus::kNoReply ||
      RandomBool(faults_.lose_reply_share)) {
    FinishWithoutReply(id, AttemptOutcome::kConnectionLost,
                       Execution::kUnknown);
    return;
  }
  const SearcherModel& searcher = fleet_.searcher(it->second.request.searcher);
  UpstreamReply answer;
  answer.reported_in_flight = searcher.reported_in_flight();
  answer.draining = searcher.faults().draining;
  if (reply.status == ExecuteStatus::kNotRun) {
    answer.outcome = OutcomeOfRefusal(reply.reason);
    answer.execution = Execution::kNotRun;
  } else if (reply.status == ExecuteStatus::kOk) {
    answer.outcome = AttemptOutcome::kOk;
    answer.execution = Execution::kRan;
    answer.shard = reply.shard;
    answer.map_version = reply.map_version;
    answer.index_version = reply.index_version;
    answer.body = reply.body;
  }
  Finish(id, std::move(answer));
}

void FakeTransport::FinishWithoutReply(AttemptId id,
                                       AttemptOutcome outcome,
                                       Execution execution) {
  UpstreamReply reply;
  reply.outcome = outcome;
  reply.execution = execution;
  Finish(id, std::move(reply));
}

void FakeTransport::Finish(AttemptId id, UpstreamReply reply) {
  auto it = attempts_.find(id);
  if (it == attempts_.end())
    return;
  fleet_.timers().Cancel(it->second.limit);
  reply.attempt = id;
  reply.searcher = it->second.request.searcher;
  reply.latency = fleet_.timers().Now() - it->second.sent_at;
  attempts_.erase(it);
  if (paused_)
    deferred_replies_.push_back(std::move(reply));
  else
    handler_(std::move(reply));
}

void FakeTransport::Cancel(AttemptId attempt) {
  auto it = attempts_.find(attempt);
  if (it == attempts_.end())
    return;
  SearcherId searcher = it->second.request.searcher;
  std::shared_ptr<bool> alive = alive_;
  std::string tag = AttemptTag(attempt);
  fleet_.timers().ScheduleAfter(faults_.one_way_delay,
                                [this, alive, searcher, tag] {
                                  if (*alive && fleet_.Has(searcher))
                                    fleet_.searcher(searcher).Cancel(tag);
                                });
  // The reply handler must not run inside Cancel.
  fleet_.timers().ScheduleAfter(Duration::zero(), [this, alive, attempt] {
    if (*alive)
      FinishWithoutReply(attempt, AttemptOutcome::kCancelled,
                         Execution::kUnknown);
  });
}

void FakeTransport::SetPaused(bool paused) {
  paused_ = paused;
  if (paused)
    return;
  std::vector<UpstreamReply> deferred = std::move(deferred_replies_);
  deferred_replies_.clear();
  for (UpstreamReply& reply : deferred)
    handler_(std::move(reply));
}

}  // namespace jujubecove::standin
