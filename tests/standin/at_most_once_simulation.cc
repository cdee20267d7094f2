#include "tests/standin/at_most_once_simulation.h"

#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "kernel/fake_timer_service.h"
#include "tests/standin/fake_daemon.h"

namespace jujubecove::standin {
namespace {

constexpr Duration kDeadline{250'000};
// A caller resends a record if no answer arrives within this time.
constexpr Duration kAnswerTimeout{400'000};
constexpr int kMaxResends = 2;
constexpr Duration kKillPeriod{3'000'000};
constexpr Duration kRestartDelay{500'000};
constexpr Duration kPausePeriod{2'000'000};
constexpr Duration kMaxPause{3'000'000};
constexpr Duration kMaxCopyDelay{5'000'000};
// Exceeds the time that any late copy or pause can delay a record.
constexpr Duration kSettleTime{30'000'000};
constexpr double kConcurrentCopyShare = 0.3;
constexpr double kLateCopyShare = 0.1;
// After "not run" a caller should use a new ticket. Some callers reuse the old
// one, which checks that "not run" is final.
constexpr double kTicketReuseShare = 0.3;
constexpr double kLoseAnswerShare = 0.03;
// All replicas of one shard are down at once, so that records are answered as
// not run.
constexpr Duration kOutagePeriod{1'000'000};
constexpr Duration kOutageDuration{300'000};

std::shared_ptr<const Document> MakeDocument(bool tickets) {
  std::shared_ptr<Document> document = std::make_shared<Document>();
  document->version = ConfigVersion(1);
  ServiceSpec service;
  service.name = ServiceName("records");
  service.shards = 10;
  service.replicas = 3;
  service.slots = 4;
  document->services[service.name] = service;
  KindSpec kind;
  kind.name = KindName("record");
  kind.service = service.name;
  kind.addressing = Addressing::kOneKey;
  kind.deadline = kDeadline;
  kind.idempotent = !tickets;
  kind.hedge = false;
  document->kinds[kind.name] = kind;
  return document;
}

// Uses the record's body as idempotency key, so that the searchers can count
// effects when the daemons send no tickets.
class BodyKeyTransport : public FakeTransport {
 public:
  using FakeTransport::FakeTransport;

  void Send(UpstreamRequest request) override {
    request.idempotency_key = *request.body;
    FakeTransport::Send(std::move(request));
  }
};

class Simulation {
 public:
  explicit Simulation(const AtMostOnceOptions& options);
  ~Simulation() { daemons_.clear(); }

  AtMostOnceResult Run();

 private:
  struct Record {
    std::string ticket;
    std::string body;
    std::string key;
    int resends = 0;
    bool ran = false;
    bool not_run = false;
  };

  bool RandomBool(double share) {
    return std::uniform_real_distribution<double>(0.0, 1.0)(random_) < share;
  }
  Duration RandomDelay(Duration limit) {
    return Duration(std::uniform_int_distribution<Duration::rep>(
        0, limit.count())(random_));
  }
  std::size_t RandomDaemon() { return random_() % daemons_.size(); }
  void StartDaemon(std::size_t n);
  void KillDaemon();
  void PauseDaemon();
  void StartOutage();
  void SetDown(std::size_t shard, bool down);
  void StartRecord(std::size_t record);
  void SendCopy(std::size_t record, std::size_t daemon);
  void OnAnswer(std::size_t record, const RenderedAnswer& answer);
  void ResendIfUnknown(std::size_t record);
  AtMostOnceResult MakeResult() const;

  AtMostOnceOptions options_;
  RandomEngine random_;
  FakeTimerService timers_;
  FakeFleet fleet_;
  PeerNetwork network_;
  std::shared_ptr<const Document> document_;
  std::uint64_t next_incarnation_ = 1;
  std::uint64_t next_request_ = 1;
  std::vector<std::unique_ptr<FakeDaemon>> daemons_;
  std::vector<Record> records_;
  mutable AtMostOnceResult result_;
};

Simulation::Simulation(const AtMostOnceOptions& options)
    : options_(options),
      random_(options.seed),
      fleet_(timers_, random_()),
      network_(timers_, random_()),
      document_(MakeDocument(options.tickets)),
      daemons_(options.daemons),
      records_(options.records) {
  FleetService service;
  service.name = ServiceName("records");
  service.parameters.slots = 4;
  fleet_.AddService(service);
  for (std::size_t shard = 0; shard < service.shards; ++shard)
    SetDown(shard, false);
  PeerFaults& peers = network_.faults();
  peers.lose_request_share = 0.02;
  peers.lose_answer_share = 0.02;
  peers.duplicate_share = 0.05;
  for (std::size_t n = 0; n < daemons_.size(); ++n)
    StartDaemon(n);
}

void Simulation::StartDaemon(std::size_t n) {
  FakeDaemonOptions options;
  options.address = "127.0.0." + std::to_string(n + 1) + ":9001";
  options.incarnation = IncarnationId(next_incarnation_++);
  options.seed = random_();
  options.live_daemons = daemons_.size();
  if (!options_.tickets) {
    options.make_transport = [](FakeFleet& fleet, std::uint64_t seed) {
      return std::make_unique<BodyKeyTransport>(fleet, seed);
    };
  }
  daemons_[n] = std::make_unique<FakeDaemon>(fleet_, network_, document_,
                                             std::move(options));
  daemons_[n]->transport().faults().lose_reply_share = 0.01;
}

AtMostOnceResult Simulation::Run() {
  timers_.ScheduleAfter(kKillPeriod, [this] { KillDaemon(); });
  timers_.ScheduleAfter(kPausePeriod, [this] { PauseDaemon(); });
  timers_.ScheduleAfter(kOutagePeriod, [this] { StartOutage(); });
  for (std::size_t n = 0; n < records_.size(); ++n) {
    StartRecord(n);
    timers_.AdvanceBy(options_.interval);
  }
  timers_.AdvanceBy(kSettleTime);
  return MakeResult();
}

void Simulation::KillDaemon() {
  std::size_t n = RandomDaemon();
  if (daemons_[n]) {
    ++result_.kills;
    daemons_[n].reset();
    timers_.ScheduleAfter(kRestartDelay, [this, n] { StartDaemon(n); });
  }
  timers_.ScheduleAfter(kKillPeriod, [this] { KillDaemon(); });
}

void Simulation::PauseDaemon() {
  std::size_t n = RandomDaemon();
  if (daemons_[n] && !daemons_[n]->paused()) {
    ++result_.pauses;
    FakeDaemon* paused = daemons_[n].get();
    paused->SetPaused(true);
    timers_.ScheduleAfter(RandomDelay(kMaxPause), [this, n, paused] {
      // The daemon may have been killed and replaced by now.
      if (daemons_[n].get() == paused)
        paused->SetPaused(false);
    });
  }
  timers_.ScheduleAfter(kPausePeriod, [this] { PauseDaemon(); });
}

void Simulation::StartOutage() {
  std::size_t shard = random_() % 10;
  SetDown(shard, true);
  timers_.ScheduleAfter(kOutageDuration,
                        [this, shard] { SetDown(shard, false); });
  timers_.ScheduleAfter(kOutagePeriod, [this] { StartOutage(); });
}

void Simulation::SetDown(std::size_t shard, bool down) {
  SearcherFaults faults;
  faults.lost_reply_share = 0.02;
  faults.fail_share = 0.01;
  faults.cold_share = 0.02;
  faults.down = down;
  for (std::size_t replica = 0; replica < 3; ++replica) {
    SearcherId id = FakeFleet::IdOf(ServiceName("records"), shard, replica);
    fleet_.searcher(id).SetFaults(faults);
  }
}

void Simulation::StartRecord(std::size_t record) {
  Record& it = records_[record];
  it.body = "\"r" + std::to_string(record) + "\"";
  it.key = std::to_string(random_() % 10'000);
  std::size_t issuer = RandomDaemon();
  for (std::size_t n = 0; it.ticket.empty() && n < daemons_.size(); ++n) {
    issuer = (issuer + 1) % daemons_.size();
    if (daemons_[issuer])
      it.ticket = daemons_[issuer]->IssueTicket().value_or("");
  }
  if (it.ticket.empty())
    return;
  ++result_.records;
  SendCopy(record, RandomBool(0.5) ? issuer : RandomDaemon());
  if (RandomBool(kConcurrentCopyShare))
    SendCopy(record, RandomDaemon());
  if (RandomBool(kLateCopyShare)) {
    timers_.ScheduleAfter(RandomDelay(kMaxCopyDelay),
                          [this, record] { SendCopy(record, RandomDaemon()); });
  }
  timers_.ScheduleAfter(kAnswerTimeout,
                        [this, record] { ResendIfUnknown(record); });
}

void Simulation::SendCopy(std::size_t record, std::size_t daemon) {
  if (!daemons_[daemon])
    return;
  ++result_.copies;
  QueryRequest request;
  request.id = RequestId(next_request_++);
  request.kind = KindName("record");
  request.key = records_[record].key;
  request.body = records_[record].body;
  if (options_.tickets)
    request.idempotency_key = records_[record].ticket;
  daemons_[daemon]->Submit(request,
                           [this, record](const RenderedAnswer& answer) {
                             OnAnswer(record, answer);
                           });
}

void Simulation::OnAnswer(std::size_t record, const RenderedAnswer& answer) {
  if (RandomBool(kLoseAnswerShare))
    return;
  ++result_.answers;
  Record& it = records_[record];
  it.ran =
      it.ran || answer.body.find("\"execution\":\"ran\"") != std::string::npos;
  bool says_not_run =
      answer.body.find("\"execution\":\"not_run\"") != std::string::npos;
  if (says_not_run && !it.not_run && RandomBool(kTicketReuseShare)) {
    timers_.ScheduleAfter(RandomDelay(kMaxCopyDelay),
                          [this, record] { SendCopy(record, RandomDaemon()); });
  }
  it.not_run = it.not_run || says_not_run;
}

void Simulation::ResendIfUnknown(std::size_t record) {
  Record& it = records_[record];
  if (it.ran || it.not_run || it.resends >= kMaxResends)
    return;
  ++it.resends;
  SendCopy(record, RandomDaemon());
  timers_.ScheduleAfter(kAnswerTimeout,
                        [this, record] { ResendIfUnknown(record); });
}

AtMostOnceResult Simulation::MakeResult() const {
  AtMostOnceResult result = result_;
  for (const Record& it : records_) {
    if (it.ticket.empty())
      continue;
    std::size_t effects =
        const_cast<FakeFleet&>(fleet_).effect_counter().CountOf(
            options_.tickets ? it.ticket : it.body);
    result.effects += effects > 0 ? 1 : 0;
    result.second_effects += effects > 1 ? 1 : 0;
    result.false_not_run += it.not_run && effects > 0 ? 1 : 0;
    result.false_ran += it.ran && effects == 0 ? 1 : 0;
    result.known_ran += it.ran ? 1 : 0;
    result.known_not_run += !it.ran && it.not_run ? 1 : 0;
    result.unknown += !it.ran && !it.not_run ? 1 : 0;
  }
  return result;
}

}  // namespace

AtMostOnceResult SimulateAtMostOnce(const AtMostOnceOptions& options) {
  return Simulation(options).Run();
}

}  // namespace jujubecove::standin
