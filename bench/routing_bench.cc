// CPU time of the router per attempt and per snapshot choice at the design
// size: 110 shards with 3 replicas.
#include <benchmark/benchmark.h>

#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <memory>
#include <string>
#include <vector>

#include "kernel/fake_timer_service.h"
#include "routing/make_router.h"

namespace jujubecove {
namespace {

constexpr std::size_t kShards = 110;
constexpr std::size_t kReplicas = 3;
constexpr double kMaxAttemptNs = 2'000;
constexpr double kMaxPickSnapshotNs = 100'000;

class RouterFixture {
 public:
  RouterFixture() : router_(MakeRouter(timers_, 1)) {
    auto document = std::make_shared<Document>();
    ServiceSpec& spec = document->services[service_];
    spec.name = service_;
    spec.slots = 16;
    router_->SetDocument(document);
    std::vector<ShardEntry> shards(kShards);
    for (std::size_t n = 0; n < kShards; ++n) {
      shards[n].id = ShardId("shard-" + std::to_string(n));
      shards[n].range.from = n == 0 ? "" : std::to_string(1000 + n);
      shards[n].range.to = n + 1 == kShards ? "" : std::to_string(1001 + n);
      shard_ids_.push_back(shards[n].id);
    }
    router_->AddShardMap(service_,
                         std::make_shared<const ShardMap>(
                             ShardMap::Create(version_, shards).value()));
    for (std::size_t n = 0; n < kShards * kReplicas; ++n)
      SendReport(n, 7);
  }

  void SendReport(std::size_t searcher, std::uint64_t newest_index) {
    SearcherReport report;
    report.searcher =
        SearcherId("10.0.0." + std::to_string(searcher) + ":8080");
    report.service = service_;
    report.holdings.push_back({version_,
                               {shard_ids_[searcher / kReplicas]},
                               {IndexVersion(newest_index), IndexVersion(6)}});
    router_->ApplyReport(report);
  }

  // Runs one attempt from the replica choice to the reply. Requests and replies
  // are created in advance, so that only the router is measured.
  void RunAttempt(std::size_t shard) {
    ReplicaRequest& choice_request = choice_requests_[shard];
    ReplicaChoice choice = router_->ChooseReplica(choice_request);
    request_.attempt = AttemptId(next_attempt_++);
    request_.searcher = std::move(choice.searcher);
    router_->OnSend(request_, service_);
    router_->OnFirstAttempt(service_);
    timers_.SimulatePause(Duration(50));
    reply_.attempt = request_.attempt;
    reply_.shard = choice_request.shard;
    reply_.latency = Duration(6'000 + static_cast<std::int64_t>(shard));
    router_->OnReply(reply_);
  }

  void PrepareRequests() {
    for (const ShardId& id : shard_ids_) {
      ReplicaRequest request;
      request.service = service_;
      request.map_version = version_;
      request.shard = id;
      request.index_version = IndexVersion(7);
      choice_requests_.push_back(request);
    }
    request_.map_version = version_;
    request_.index_version = IndexVersion(7);
    reply_.outcome = AttemptOutcome::kOk;
    reply_.map_version = version_;
    reply_.index_version = IndexVersion(7);
    reply_.reported_in_flight = 1;
  }

  void PickSnapshot(std::uint64_t newest_index) {
    // A changed report invalidates the snapshot picked before.
    SendReport(0, newest_index);
    benchmark::DoNotOptimize(router_->PickSnapshot(service_, {}));
  }

 private:
  FakeTimerService timers_;
  ServiceName service_{"weighbridge"};
  ShardMapVersion version_{3};
  std::unique_ptr<Router> router_;
  std::vector<ShardId> shard_ids_;
  std::vector<ReplicaRequest> choice_requests_;
  UpstreamRequest request_;
  UpstreamReply reply_;
  std::uint64_t next_attempt_ = 1;
};

void MeasureAttempt(benchmark::State& state) {
  RouterFixture fixture;
  fixture.PrepareRequests();
  std::size_t shard = 0;
  for (auto step : state) {
    (void)step;
    fixture.RunAttempt(shard);
    shard = (shard + 1) % kShards;
  }
}
BENCHMARK(MeasureAttempt);

void MeasurePickSnapshot(benchmark::State& state) {
  RouterFixture fixture;
  std::uint64_t newest_index = 7;
  for (auto step : state) {
    (void)step;
    fixture.PickSnapshot(newest_index);
    newest_index = newest_index == 7 ? 8 : 7;
  }
}
BENCHMARK(MeasurePickSnapshot);

// Prints each result in the format of bench::Report.
class Reporter : public benchmark::ConsoleReporter {
 public:
  void ReportRuns(const std::vector<Run>& runs) override {
    for (const Run& run : runs) {
      bool attempt = run.benchmark_name() == "MeasureAttempt";
      double bound = attempt ? kMaxAttemptNs : kMaxPickSnapshotNs;
      double value = run.GetAdjustedCPUTime();
      passed_ = passed_ && value <= bound;
      std::printf("bench routing %s=%.0f target=%.0f %s\n",
                  attempt ? "attempt_ns" : "pick_snapshot_ns", value, bound,
                  value <= bound ? "ok" : "short");
    }
  }
  bool passed() const { return passed_; }

 private:
  bool passed_ = true;
};

}  // namespace
}  // namespace jujubecove

int main(int argc, char** argv) {
  benchmark::Initialize(&argc, argv);
  jujubecove::Reporter reporter;
  benchmark::RunSpecifiedBenchmarks(&reporter);
  return reporter.passed() ? 0 : 1;
}
