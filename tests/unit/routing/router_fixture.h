#pragma once

#include <gtest/gtest.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "kernel/fake_timer_service.h"
#include "routing/adaptive_router.h"

namespace jujubecove {

// A router on a fake clock over one service with a uniform map. Searcher
// "s<shard>r<replica>" holds shard "<shard>".
class RouterFixture : public testing::Test {
 protected:
  static constexpr std::uint64_t kSeed = 7;

  ServiceName service_{"weighbridge"};
  FakeTimerService timers_;
  AdaptiveRouter router_{timers_, kSeed};
  std::shared_ptr<const ShardMap> map_;
  std::vector<SearcherVm> vms_;
  std::uint64_t next_attempt_ = 1;

  static SearcherId IdOf(std::size_t shard, std::size_t replica) {
    return SearcherId("s" + std::to_string(shard) + "r" +
                      std::to_string(replica));
  }

  static std::shared_ptr<const ShardMap> MakeMap(std::uint64_t version,
                                                 std::size_t shards) {
    std::vector<ShardEntry> entries;
    for (std::size_t n = 0; n < shards; ++n) {
      std::string from = n == 0 ? "" : "k" + std::to_string(100 + n);
      std::string to = n + 1 == shards ? "" : "k" + std::to_string(101 + n);
      entries.push_back({ShardId(std::to_string(n)), {from, to}});
    }
    return std::make_shared<const ShardMap>(
        ShardMap::Create(ShardMapVersion(version), std::move(entries)).value());
  }

  static Document MakeDocument(std::uint32_t slots) {
    Document document;
    ServiceSpec spec;
    spec.name = ServiceName("weighbridge");
    spec.slots = slots;
    spec.replicas = 3;
    spec.expected_latency = Duration(6'000);
    document.services[spec.name] = spec;
    return document;
  }

  SearcherReport MakeReport(std::size_t shard, std::size_t replica) const {
    SearcherReport report;
    report.searcher = IdOf(shard, replica);
    report.service = service_;
    report.slots = 2;
    report.holdings.push_back(
        {map_->version(), {ShardId(std::to_string(shard))}, {IndexVersion(5)}});
    return report;
  }

  void StartService(std::size_t shards,
                    std::size_t replicas,
                    std::uint32_t slots = 2) {
    router_.SetDocument(std::make_shared<const Document>(MakeDocument(slots)));
    map_ = MakeMap(1, shards);
    router_.AddShardMap(service_, map_);
    for (std::size_t shard = 0; shard < shards; ++shard) {
      for (std::size_t replica = 0; replica < replicas; ++replica) {
        SearcherId id = IdOf(shard, replica);
        vms_.push_back({VmId(id.value()), ZoneName("nyeri"), id, service_});
      }
    }
    router_.ApplyVmList(vms_);
    for (std::size_t shard = 0; shard < shards; ++shard) {
      for (std::size_t replica = 0; replica < replicas; ++replica)
        router_.ApplyReport(MakeReport(shard, replica));
    }
  }

  ReplicaRequest MakeRequest(std::size_t shard = 0) const {
    ReplicaRequest request;
    request.service = service_;
    request.map_version = map_->version();
    request.shard = ShardId(std::to_string(shard));
    return request;
  }

  AttemptId Send(const SearcherId& id,
                 std::optional<IndexVersion> version = std::nullopt) {
    UpstreamRequest request;
    request.attempt = AttemptId(next_attempt_++);
    request.searcher = id;
    request.map_version = map_->version();
    request.index_version = version;
    router_.OnSend(request, service_);
    return request.attempt;
  }

  UpstreamReply MakeReply(AttemptId attempt,
                          const SearcherId& id,
                          AttemptOutcome outcome,
                          Duration latency) const {
    UpstreamReply reply;
    reply.attempt = attempt;
    reply.searcher = id;
    reply.outcome = outcome;
    reply.latency = latency;
    reply.map_version = map_->version();
    reply.index_version = IndexVersion(5);
    return reply;
  }

  // Sends one attempt and replies after advancing the clock by `latency`.
  void RunAttempt(const SearcherId& id,
                  Duration latency = Duration(6'000),
                  AttemptOutcome outcome = AttemptOutcome::kOk) {
    AttemptId attempt = Send(id);
    timers_.AdvanceBy(latency);
    router_.OnReply(MakeReply(attempt, id, outcome, latency));
  }

  // How often each replica of a shard is chosen in `count` calls without any
  // send.
  std::vector<int> CountChoices(int count,
                                std::size_t replicas,
                                std::size_t shard = 0) {
    std::vector<int> counts(replicas, 0);
    for (int n = 0; n < count; ++n) {
      ReplicaChoice choice = router_.ChooseReplica(MakeRequest(shard));
      for (std::size_t replica = 0; replica < replicas; ++replica)
        counts[replica] += choice.searcher == IdOf(shard, replica) ? 1 : 0;
    }
    return counts;
  }
};

}  // namespace jujubecove
