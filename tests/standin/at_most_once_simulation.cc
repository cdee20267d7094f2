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
// A caller waits this long for an answer before it sends the record again.
constexpr Duration kPatience{400'000};
constexpr int kMostRepeats = 2;
constexpr Duration kKillPeriod{3'000'000};
constexpr Duration kReplacedAfter{500'000};
constexpr Duration kPausePeriod{2'000'000};
constexpr Duration kLongestPause{3'000'000};
constexpr Duration kLatestCopy{5'000'000};
// Longer than any copy or pause can keep a record going.
constexpr Duration kSettle{30'000'000};
constexpr double kSameMomentShare = 0.3;
constexpr double kLateCopyShare = 0.1;
// After "not run" a caller should take a new ticket. Some don't, which tests
// that the statement is final.
constexpr double kStubbornShare = 0.3;
constexpr double kLoseAnswerShare = 0.03;
// All replicas of one shard are down together for a moment, so that records are
// refused as not run.
constexpr Duration kOutagePeriod{1'000'000};
constexpr Duration kOutage{300'000};

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

// Lets the searchers count the effects of a tier that sends no tickets: the
// record's body stands in for its key.
class TaggingTransport : public FakeTransport {
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
    int repeats = 0;
    bool ran = false;
    bool not_run = false;
  };

  bool Draw(double share) {
    return std::uniform_real_distribution<double>(0.0, 1.0)(random_) < share;
  }
  Duration DrawDelay(Duration most) {
    return Duration(
        std::uniform_int_distribution<Duration::rep>(0, most.count())(random_));
  }
  std::size_t AnyDaemon() { return random_() % daemons_.size(); }
  void StartDaemon(std::size_t n);
  void Kill();
  void Pause();
  void BeginOutage();
  void SetDown(std::size_t shard, bool down);
  void Begin(std::size_t record);
  void SendCopy(std::size_t record, std::size_t daemon);
  void OnAnswer(std::size_t record, const RenderedAnswer& answer);
  void RepeatIfUnknown(std::size_t record);
  AtMostOnceResult Count() const;

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
  service.shape.slots = 4;
  fleet_.AddService(service);
  for (std::size_t shard = 0; shard < service.shards; ++shard)
    SetDown(shard, false);
  PeerFaults& peers = network_.faults();
  peers.lose_request_share = 0.02;
  peers.lose_answer_share = 0.02;
  peers.copy_share = 0.05;
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
      return std::make_unique<TaggingTransport>(fleet, seed);
    };
  }
  daemons_[n] = std::make_unique<FakeDaemon>(fleet_, network_, document_,
                                             std::move(options));
  daemons_[n]->transport().faults().lose_reply_share = 0.01;
}

AtMostOnceResult Simulation::Run() {
  timers_.ScheduleAfter(kKillPeriod, [this] { Kill(); });
  timers_.ScheduleAfter(kPausePeriod, [this] { Pause(); });
  timers_.ScheduleAfter(kOutagePeriod, [this] { BeginOutage(); });
  for (std::size_t n = 0; n < records_.size(); ++n) {
    Begin(n);
    timers_.AdvanceBy(options_.interval);
  }
  timers_.AdvanceBy(kSettle);
  return Count();
}

void Simulation::Kill() {
  std::size_t n = AnyDaemon();
  if (daemons_[n]) {
    ++result_.kills;
    daemons_[n].reset();
    timers_.ScheduleAfter(kReplacedAfter, [this, n] { StartDaemon(n); });
  }
  timers_.ScheduleAfter(kKillPeriod, [this] { Kill(); });
}

void Simulation::Pause() {
  std::size_t n = AnyDaemon();
  if (daemons_[n] && !daemons_[n]->paused()) {
    ++result_.pauses;
    FakeDaemon* paused = daemons_[n].get();
    paused->SetPaused(true);
    timers_.ScheduleAfter(DrawDelay(kLongestPause), [this, n, paused] {
      // It may have been killed and replaced meanwhile.
      if (daemons_[n].get() == paused)
        paused->SetPaused(false);
    });
  }
  timers_.ScheduleAfter(kPausePeriod, [this] { Pause(); });
}

void Simulation::BeginOutage() {
  std::size_t shard = random_() % 10;
  SetDown(shard, true);
  timers_.ScheduleAfter(kOutage, [this, shard] { SetDown(shard, false); });
  timers_.ScheduleAfter(kOutagePeriod, [this] { BeginOutage(); });
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

void Simulation::Begin(std::size_t record) {
  Record& it = records_[record];
  it.body = "\"r" + std::to_string(record) + "\"";
  it.key = std::to_string(random_() % 10'000);
  std::size_t issuer = AnyDaemon();
  for (std::size_t n = 0; it.ticket.empty() && n < daemons_.size(); ++n) {
    issuer = (issuer + 1) % daemons_.size();
    if (daemons_[issuer])
      it.ticket = daemons_[issuer]->IssueTicket().value_or("");
  }
  if (it.ticket.empty())
    return;
  ++result_.records;
  SendCopy(record, Draw(0.5) ? issuer : AnyDaemon());
  if (Draw(kSameMomentShare))
    SendCopy(record, AnyDaemon());
  if (Draw(kLateCopyShare)) {
    timers_.ScheduleAfter(DrawDelay(kLatestCopy),
                          [this, record] { SendCopy(record, AnyDaemon()); });
  }
  timers_.ScheduleAfter(kPatience, [this, record] { RepeatIfUnknown(record); });
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
  if (Draw(kLoseAnswerShare))
    return;
  ++result_.answers;
  Record& it = records_[record];
  it.ran =
      it.ran || answer.body.find("\"execution\":\"ran\"") != std::string::npos;
  bool says_not_run =
      answer.body.find("\"execution\":\"not_run\"") != std::string::npos;
  if (says_not_run && !it.not_run && Draw(kStubbornShare)) {
    timers_.ScheduleAfter(DrawDelay(kLatestCopy),
                          [this, record] { SendCopy(record, AnyDaemon()); });
  }
  it.not_run = it.not_run || says_not_run;
}

void Simulation::RepeatIfUnknown(std::size_t record) {
  Record& it = records_[record];
  if (it.ran || it.not_run || it.repeats >= kMostRepeats)
    return;
  ++it.repeats;
  SendCopy(record, AnyDaemon());
  timers_.ScheduleAfter(kPatience, [this, record] { RepeatIfUnknown(record); });
}

AtMostOnceResult Simulation::Count() const {
  AtMostOnceResult result = result_;
  for (const Record& it : records_) {
    if (it.ticket.empty())
      continue;
    std::size_t effects = const_cast<FakeFleet&>(fleet_).ledger().CountOf(
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
