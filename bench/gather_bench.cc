// CPU time of the query engine per upstream attempt, with a stub router and
// with the real one. path_bench measures the rest of the path (sockets, HTTP,
// rings).
#include <gflags/gflags.h>

#include <cstddef>
#include <ctime>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "admission/unlimited_admission.h"
#include "bench/report.h"
#include "gather/query_engine_impl.h"
#include "kernel/fake_timer_service.h"
#include "routing/make_router.h"

DEFINE_uint64(queries, 5'000, "Queries of each measurement.");
DEFINE_uint64(shards, 110, "Shards of a query.");

namespace jujubecove {
namespace {

constexpr double kMicrosPerSecond = 1e6;

std::shared_ptr<const ShardMap> MakeMap(std::size_t count) {
  std::vector<ShardEntry> shards;
  for (std::size_t n = 0; n < count; ++n) {
    KeyRange range;
    if (n > 0)
      range.from = std::to_string(1'000 + n);
    if (n + 1 < count)
      range.to = std::to_string(1'001 + n);
    shards.push_back(ShardEntry{ShardId("s" + std::to_string(n)), range});
  }
  return std::make_shared<const ShardMap>(
      ShardMap::Create(ShardMapVersion(1), std::move(shards)).value());
}

// Returns the same searcher for every shard.
class StubRouter : public Router {
 public:
  explicit StubRouter(std::shared_ptr<const ShardMap> map)
      : map_(std::move(map)) {}

  void SetDocument(std::shared_ptr<const Document>) override {}
  void ApplyVmList(const std::vector<SearcherVm>&) override {}
  void ApplyReport(const SearcherReport&) override {}
  void AddShardMap(const ServiceName&,
                   std::shared_ptr<const ShardMap>) override {}
  void SetLiveDaemons(std::size_t) override {}
  std::shared_ptr<const ShardMap> CurrentMap(
      const ServiceName&) const override {
    return map_;
  }
  std::optional<SnapshotPin> PickSnapshot(
      const ServiceName&,
      const std::vector<SnapshotPin>&) const override {
    return SnapshotPin{map_, IndexVersion(1)};
  }
  ReplicaChoice ChooseReplica(const ReplicaRequest&) override {
    return ReplicaChoice{ReplicaChoiceStatus::kChosen, searcher_};
  }
  void OnSend(const UpstreamRequest&, const ServiceName&) override {}
  void OnReply(const UpstreamReply&) override {}
  void OnFirstAttempt(const ServiceName&) override {}
  bool TryTakeRetryToken(const ServiceName&) override { return false; }
  std::optional<Duration> HedgeDelay(const ServiceName&) const override {
    return std::nullopt;
  }
  Duration EstimatedLatency(const ServiceName&) const override {
    return Duration(1'000);
  }

 private:
  std::shared_ptr<const ShardMap> map_;
  SearcherId searcher_{"10.20.30.40:18080"};
};

class HoldingTransport : public UpstreamTransport {
 public:
  void SetReplyHandler(ReplyHandler handler) override {
    handler_ = std::move(handler);
  }
  void Send(UpstreamRequest request) override {
    sent_.push_back(std::move(request));
  }
  void Cancel(AttemptId) override {}
  bool HasCapacityFor(std::size_t) const override { return true; }

  void AnswerAll(const std::string& body) {
    std::vector<UpstreamRequest> sent = std::move(sent_);
    sent_.clear();
    for (UpstreamRequest& request : sent) {
      UpstreamReply reply;
      reply.attempt = request.attempt;
      reply.searcher = std::move(request.searcher);
      reply.outcome = AttemptOutcome::kOk;
      reply.execution = Execution::kRan;
      reply.shard = std::move(request.shard);
      reply.map_version = request.map_version;
      reply.index_version = IndexVersion(1);
      reply.latency = Duration(1'000);
      reply.body = body;
      handler_(std::move(reply));
    }
  }

 private:
  ReplyHandler handler_;
  std::vector<UpstreamRequest> sent_;
};

std::shared_ptr<const Document> MakeDocument(std::size_t shards) {
  std::shared_ptr<Document> document = std::make_shared<Document>();
  ServiceSpec service;
  service.name = ServiceName("index");
  service.shards = static_cast<std::uint32_t>(shards);
  service.slots = 1'000;
  document->services[service.name] = service;
  KindSpec kind;
  kind.name = KindName("search");
  kind.service = service.name;
  kind.snapshot = true;
  document->kinds[kind.name] = kind;
  return document;
}

void PopulateRouter(Router& router,
                    const std::shared_ptr<const ShardMap>& map) {
  router.SetDocument(MakeDocument(map->size()));
  router.AddShardMap(ServiceName("index"), map);
  for (std::size_t n = 0; n < map->size(); ++n) {
    for (std::size_t replica = 0; replica < 3; ++replica) {
      SearcherReport report;
      report.searcher = SearcherId("10.20." + std::to_string(n) + "." +
                                   std::to_string(replica) + ":18080");
      report.service = ServiceName("index");
      report.slots = 1'000;
      report.holdings = {SearcherReport::Holding{
          map->version(), {map->shards()[n].id}, {IndexVersion(1)}}};
      router.ApplyReport(report);
    }
  }
}

// CPU microseconds per attempt; -1 if a query failed.
double Measure(Router& router, FakeTimerService& timers) {
  UnlimitedAdmission admission;
  HoldingTransport transport;
  QueryEngineImpl engine(
      EngineDependencies{timers, router, admission, transport}, EngineOptions(),
      1);
  engine.SetDocument(MakeDocument(FLAGS_shards));
  std::string body = R"([{"id":"a17","rank":3},{"id":"b18","rank":5}])";
  std::size_t answered = 0;
  std::clock_t start = std::clock();
  for (std::size_t n = 0; n < FLAGS_queries; ++n) {
    QueryRequest request;
    request.id = RequestId(n + 1);
    request.kind = KindName("search");
    request.body = "{\"text\":\"rose\"}";
    engine.Submit(std::move(request), [&answered](const QueryAnswer& answer) {
      answered += answer.error ? 0 : 1;
    });
    timers.AdvanceBy(Duration(1'000));
    transport.AnswerAll(body);
  }
  double seconds = static_cast<double>(std::clock() - start) / CLOCKS_PER_SEC;
  if (answered != FLAGS_queries)
    return -1;
  return seconds * kMicrosPerSecond /
         static_cast<double>(FLAGS_queries * FLAGS_shards);
}

}  // namespace
}  // namespace jujubecove

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  std::shared_ptr<const jujubecove::ShardMap> map =
      jujubecove::MakeMap(FLAGS_shards);
  jujubecove::FakeTimerService timers;
  jujubecove::StubRouter stub_router(map);
  jujubecove::bench::Report report("gather");
  report.AtMost("engine_us_per_attempt",
                jujubecove::Measure(stub_router, timers), 4.0);
  std::unique_ptr<jujubecove::Router> router =
      jujubecove::MakeRouter(timers, 1);
  jujubecove::PopulateRouter(*router, map);
  report.Info("with_router_us_per_attempt",
              jujubecove::Measure(*router, timers));
  return report.exit_code();
}
