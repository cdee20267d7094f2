#include "bench/policy_simulation.h"

#include <algorithm>
#include <deque>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/random.h"
#include "bench/simulated_fleet.h"
#include "kernel/fake_timer_service.h"
#include "routing/make_router.h"

namespace jujubecove {
namespace {

constexpr Duration kDeadline{250'000};
constexpr Duration kReportInterval{1'000'000};
constexpr std::uint64_t kMapVersion = 1;

struct Query {
  std::size_t daemon = 0;
  TimePoint sent;
  std::size_t answered = 0;
  bool counted = false;
  bool met_straggler = false;
  bool ended = false;
  struct Shard {
    bool answered = false;
    std::vector<SearcherId> tried;
    std::vector<std::uint64_t> attempts;
  };
  std::vector<Shard> shards;
};
using QueryPtr = std::shared_ptr<Query>;

// A first attempt that waits because all replicas are at their limit.
struct QueuedShard {
  QueryPtr query;
  std::size_t shard = 0;
  bool is_extra = false;
};

struct Daemon {
  std::unique_ptr<Router> router;
  // The daemon's own requests in flight to each searcher, for the baseline
  // policies.
  std::vector<std::uint32_t> outstanding;
  std::size_t next_replica = 0;
  std::deque<QueuedShard> queue;
};

class Simulation {
 public:
  explicit Simulation(const SimulationOptions& options);
  SimulationResult Run();

 private:
  struct SentAttempt {
    QueryPtr query;
    std::size_t shard = 0;
    std::size_t searcher = 0;
  };

  void SetUpDaemon(Daemon& daemon);
  void SendReports();
  void ScheduleArrival();
  void OnArrival();
  void StartAttempt(const QueryPtr& query, std::size_t shard, bool is_extra);
  std::size_t SelectByBaseline(const Query& query, std::size_t shard);
  ReplicaChoice SelectReplica(const Query& query, std::size_t shard);
  void SendAttempt(const QueryPtr& query,
                   std::size_t shard,
                   std::size_t searcher);
  void ScheduleHedge(const QueryPtr& query, std::size_t shard);
  void TryHedge(const QueryPtr& query, std::size_t shard);
  bool TryTakeToken(Daemon& daemon);
  void OnReply(std::uint64_t attempt,
               AttemptOutcome outcome,
               Duration latency,
               std::uint32_t in_flight);
  void OnAnswer(const QueryPtr& query, std::size_t shard);
  void EndQuery(const QueryPtr& query);
  SearcherId IdOf(std::size_t searcher) const {
    return SearcherId(std::to_string(searcher));
  }

  SimulationOptions options_;
  FakeTimerService timers_;
  RandomEngine random_;
  SimulatedFleet fleet_;
  ServiceName service_{"service"};
  std::vector<Daemon> daemons_;
  std::unordered_map<std::uint64_t, SentAttempt> sent_attempts_;
  std::uint64_t next_attempt_ = 1;
  std::vector<Duration> latencies_;
  std::size_t met_straggler_ = 0;
  SimulationResult result_;
};

Simulation::Simulation(const SimulationOptions& options)
    : options_(options),
      random_(options.seed),
      fleet_(timers_,
             options.shards * options.replicas,
             options.slots,
             options.service_time,
             options.seed + 1),
      daemons_(options.daemons) {
  fleet_.SetReplyHandler([this](std::uint64_t attempt, AttemptOutcome outcome,
                                Duration latency, std::uint32_t in_flight) {
    OnReply(attempt, outcome, latency, in_flight);
  });
  for (Daemon& daemon : daemons_)
    SetUpDaemon(daemon);
}

void Simulation::SetUpDaemon(Daemon& daemon) {
  daemon.router = MakeRouter(timers_, random_());
  daemon.outstanding.resize(options_.shards * options_.replicas);
  auto document = std::make_shared<Document>();
  ServiceSpec& spec = document->services[service_];
  spec.name = service_;
  spec.shards = static_cast<std::uint32_t>(options_.shards);
  spec.replicas = static_cast<std::uint32_t>(options_.replicas);
  spec.slots = options_.slots;
  spec.expected_latency = options_.service_time;
  daemon.router->SetDocument(document);
  daemon.router->SetLiveDaemons(options_.daemons);
  std::vector<ShardEntry> shards(options_.shards);
  for (std::size_t n = 0; n < shards.size(); ++n) {
    shards[n].id = ShardId(std::to_string(n));
    shards[n].range.from = n == 0 ? "" : std::to_string(1000 + n);
    shards[n].range.to = n + 1 == shards.size() ? "" : std::to_string(1001 + n);
  }
  daemon.router->AddShardMap(
      service_,
      std::make_shared<const ShardMap>(
          ShardMap::Create(ShardMapVersion(kMapVersion), shards).value()));
}

void Simulation::SendReports() {
  for (std::size_t n = 0; n < options_.shards * options_.replicas; ++n) {
    SearcherReport report;
    report.searcher = IdOf(n);
    report.service = service_;
    report.slots = options_.slots;
    report.holdings.push_back({ShardMapVersion(kMapVersion),
                               {ShardId(std::to_string(n / options_.replicas))},
                               {IndexVersion(1)}});
    for (Daemon& daemon : daemons_)
      daemon.router->ApplyReport(report);
  }
  timers_.ScheduleAfter(kReportInterval, [this] { SendReports(); });
}

void Simulation::ScheduleArrival() {
  double capacity = static_cast<double>(options_.replicas * options_.slots) /
                    static_cast<double>(options_.service_time.count());
  std::exponential_distribution<double> interval(capacity * options_.load);
  timers_.ScheduleAfter(Duration(static_cast<Duration::rep>(interval(random_))),
                        [this] { OnArrival(); });
}

void Simulation::OnArrival() {
  ScheduleArrival();
  QueryPtr query = std::make_shared<Query>();
  query->daemon = random_() % daemons_.size();
  query->sent = timers_.Now();
  query->counted = timers_.Now() >= TimePoint(options_.measure_start);
  query->shards.resize(options_.shards);
  timers_.ScheduleAfter(kDeadline, [this, query] { EndQuery(query); });
  for (std::size_t shard = 0; shard < options_.shards; ++shard)
    StartAttempt(query, shard, false);
}

std::size_t Simulation::SelectByBaseline(const Query& query,
                                         std::size_t shard) {
  Daemon& daemon = daemons_[query.daemon];
  std::size_t first = shard * options_.replicas;
  std::vector<std::size_t> candidates;
  for (std::size_t n = first; n < first + options_.replicas; ++n) {
    const std::vector<SearcherId>& tried = query.shards[shard].tried;
    if (std::find(tried.begin(), tried.end(), IdOf(n)) == tried.end())
      candidates.push_back(n);
  }
  std::shuffle(candidates.begin(), candidates.end(), random_);
  if (options_.choice == ChoicePolicy::kRoundRobin)
    return first + daemon.next_replica++ % options_.replicas;
  std::size_t compared = candidates.size();
  if (options_.choice == ChoicePolicy::kRandom)
    compared = 1;
  if (options_.choice == ChoicePolicy::kTwoChoices)
    compared = std::min<std::size_t>(2, candidates.size());
  return *std::min_element(
      candidates.begin(),
      candidates.begin() + static_cast<std::ptrdiff_t>(compared),
      [&daemon](std::size_t a, std::size_t b) {
        return daemon.outstanding[a] < daemon.outstanding[b];
      });
}

ReplicaChoice Simulation::SelectReplica(const Query& query, std::size_t shard) {
  const std::vector<SearcherId>& tried = query.shards[shard].tried;
  if (options_.choice != ChoicePolicy::kRouter) {
    if (tried.size() >= options_.replicas)
      return ReplicaChoice{};
    return ReplicaChoice{ReplicaChoiceStatus::kChosen,
                         IdOf(SelectByBaseline(query, shard))};
  }
  ReplicaRequest request;
  request.service = service_;
  request.map_version = ShardMapVersion(kMapVersion);
  request.shard = ShardId(std::to_string(shard));
  request.tried = tried;
  return daemons_[query.daemon].router->ChooseReplica(request);
}

void Simulation::StartAttempt(const QueryPtr& query,
                              std::size_t shard,
                              bool is_extra) {
  Daemon& daemon = daemons_[query->daemon];
  ReplicaChoice choice = SelectReplica(*query, shard);
  if (choice.status == ReplicaChoiceStatus::kAllAtLimit && !is_extra)
    daemon.queue.push_back(QueuedShard{query, shard, is_extra});
  if (choice.status != ReplicaChoiceStatus::kChosen)
    return;
  if (!is_extra) {
    daemon.router->OnFirstAttempt(service_);
    result_.first_attempts += query->counted ? 1 : 0;
    ScheduleHedge(query, shard);
  } else {
    result_.extra_attempts += query->counted ? 1 : 0;
  }
  SendAttempt(query, shard, std::stoul(choice.searcher.value()));
}

void Simulation::SendAttempt(const QueryPtr& query,
                             std::size_t shard,
                             std::size_t searcher) {
  Daemon& daemon = daemons_[query->daemon];
  std::uint64_t attempt = next_attempt_++;
  sent_attempts_[attempt] = SentAttempt{query, shard, searcher};
  query->shards[shard].tried.push_back(IdOf(searcher));
  query->shards[shard].attempts.push_back(attempt);
  if (options_.straggler_slowdown > 1 &&
      searcher % options_.replicas == options_.replicas - 1)
    query->met_straggler = true;
  ++daemon.outstanding[searcher];
  UpstreamRequest request;
  request.attempt = AttemptId(attempt);
  request.searcher = IdOf(searcher);
  request.shard = ShardId(std::to_string(shard));
  request.map_version = ShardMapVersion(kMapVersion);
  daemon.router->OnSend(request, service_);
  fleet_.Send(attempt, searcher);
}

void Simulation::ScheduleHedge(const QueryPtr& query, std::size_t shard) {
  std::optional<Duration> delay;
  Router& router = *daemons_[query->daemon].router;
  if (options_.hedge == HedgePolicy::kFixedDelay)
    delay = 2 * options_.service_time;
  else if (options_.hedge != HedgePolicy::kNone)
    delay = router.HedgeDelay(service_);
  if (delay)
    timers_.ScheduleAfter(*delay,
                          [this, query, shard] { TryHedge(query, shard); });
}

bool Simulation::TryTakeToken(Daemon& daemon) {
  return options_.hedge != HedgePolicy::kRouter ||
         daemon.router->TryTakeRetryToken(service_);
}

void Simulation::TryHedge(const QueryPtr& query, std::size_t shard) {
  if (query->ended || query->shards[shard].answered)
    return;
  // Hedges only after three quarters of the shards have answered.
  if (query->answered * 4 < options_.shards * 3) {
    timers_.ScheduleAfter(Duration(1'000),
                          [this, query, shard] { TryHedge(query, shard); });
    return;
  }
  // Without an untried replica, an attempt would waste a token of the budget.
  if (query->shards[shard].tried.size() < options_.replicas &&
      TryTakeToken(daemons_[query->daemon]))
    StartAttempt(query, shard, true);
}

void Simulation::OnReply(std::uint64_t attempt,
                         AttemptOutcome outcome,
                         Duration latency,
                         std::uint32_t in_flight) {
  auto it = sent_attempts_.find(attempt);
  SentAttempt sent = std::move(it->second);
  sent_attempts_.erase(it);
  Daemon& daemon = daemons_[sent.query->daemon];
  --daemon.outstanding[sent.searcher];
  UpstreamReply reply;
  reply.attempt = AttemptId(attempt);
  reply.searcher = IdOf(sent.searcher);
  reply.outcome = outcome;
  reply.shard = ShardId(std::to_string(sent.shard));
  reply.map_version = ShardMapVersion(kMapVersion);
  reply.index_version = IndexVersion(1);
  reply.latency = latency;
  reply.reported_in_flight = in_flight;
  daemon.router->OnReply(reply);
  if (outcome == AttemptOutcome::kOk)
    OnAnswer(sent.query, sent.shard);
  else if (outcome == AttemptOutcome::kRefusedBusy && !sent.query->ended &&
           !sent.query->shards[sent.shard].answered && TryTakeToken(daemon))
    StartAttempt(sent.query, sent.shard, true);
  std::size_t count = daemon.queue.size();
  for (std::size_t n = 0; n < count; ++n) {
    QueuedShard next = std::move(daemon.queue.front());
    daemon.queue.pop_front();
    if (!next.query->ended)
      StartAttempt(next.query, next.shard, next.is_extra);
  }
}

void Simulation::OnAnswer(const QueryPtr& query, std::size_t shard) {
  Query::Shard& entry = query->shards[shard];
  if (query->ended || entry.answered)
    return;
  entry.answered = true;
  ++query->answered;
  for (std::uint64_t attempt : entry.attempts)
    fleet_.Cancel(attempt);
  if (query->answered == query->shards.size())
    EndQuery(query);
}

void Simulation::EndQuery(const QueryPtr& query) {
  if (query->ended)
    return;
  query->ended = true;
  for (Query::Shard& shard : query->shards) {
    for (std::uint64_t attempt : shard.attempts)
      fleet_.Cancel(attempt);
  }
  if (!query->counted)
    return;
  ++result_.queries;
  result_.incomplete += query->answered < query->shards.size() ? 1 : 0;
  met_straggler_ += query->met_straggler ? 1 : 0;
  latencies_.push_back(timers_.Now() - query->sent);
}

SimulationResult Simulation::Run() {
  SendReports();
  ScheduleArrival();
  timers_.AdvanceTo(TimePoint(options_.fault_start));
  for (std::size_t n = 0; n < options_.shards * options_.replicas; ++n) {
    bool is_straggler = n % options_.replicas == options_.replicas - 1;
    fleet_.SetSlowdown(n, options_.all_slowdown *
                              (is_straggler ? options_.straggler_slowdown : 1));
  }
  timers_.AdvanceTo(
      TimePoint(options_.measure_start + options_.measure_duration));
  std::sort(latencies_.begin(), latencies_.end());
  if (latencies_.empty())
    return result_;
  result_.median = latencies_[latencies_.size() / 2];
  result_.p99 = latencies_[latencies_.size() * 99 / 100];
  result_.met_straggler = static_cast<double>(met_straggler_) /
                          static_cast<double>(result_.queries);
  return result_;
}

}  // namespace

SimulationResult Simulate(const SimulationOptions& options) {
  return Simulation(options).Run();
}

}  // namespace jujubecove
