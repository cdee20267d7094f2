#pragma once

#include <gtest/gtest.h>

#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "gather/query_engine_impl.h"
#include "kernel/fake_timer_service.h"

namespace jujubecove {

// Chooses the first replica that has not been tried. The test sets which shards
// have usable replicas.
class ScriptedRouter : public Router {
 public:
  void SetDocument(std::shared_ptr<const Document>) override {}
  void ApplyVmList(const std::vector<SearcherVm>&) override {}
  void ApplyReport(const SearcherReport&) override {}
  void AddShardMap(const ServiceName&,
                   std::shared_ptr<const ShardMap> map) override {
    current_map = std::move(map);
  }
  void SetLiveDaemons(std::size_t) override {}
  std::shared_ptr<const ShardMap> CurrentMap(
      const ServiceName&) const override {
    return current_map;
  }
  std::optional<SnapshotPin> PickSnapshot(
      const ServiceName&,
      const std::vector<SnapshotPin>& avoid) const override;
  ReplicaChoice ChooseReplica(const ReplicaRequest& request) override;
  void OnSend(const UpstreamRequest&, const ServiceName&) override {}
  void OnReply(const UpstreamReply& reply) override {
    outcomes.push_back(reply.outcome);
  }
  void OnFirstAttempt(const ServiceName&) override { ++first_attempts; }
  bool TryTakeRetryToken(const ServiceName&) override {
    if (retry_budget == 0)
      return false;
    --retry_budget;
    return true;
  }
  std::optional<Duration> HedgeDelay(const ServiceName&) const override {
    return hedge_delay;
  }
  Duration EstimatedLatency(const ServiceName&) const override {
    return Duration(1'000);
  }

  std::shared_ptr<const ShardMap> current_map;
  // Common versions in order of preference.
  std::vector<SnapshotPin> pins;
  std::size_t replicas = 3;
  std::set<ShardId> at_limit;
  std::set<ShardId> without_replica;
  std::set<ShardId> without_version;
  std::size_t retry_budget = 100;
  std::optional<Duration> hedge_delay;
  std::size_t first_attempts = 0;
  std::vector<AttemptOutcome> outcomes;
};

// Stores the requests that are sent; the test replies to them.
class ScriptedTransport : public UpstreamTransport {
 public:
  void SetReplyHandler(ReplyHandler handler) override {
    handler_ = std::move(handler);
  }
  void Send(UpstreamRequest request) override {
    sent.push_back(std::move(request));
  }
  void Cancel(AttemptId attempt) override { cancelled.push_back(attempt); }
  bool HasCapacityFor(std::size_t count) const override {
    return count <= capacity;
  }
  void Reply(UpstreamReply reply) { handler_(std::move(reply)); }

  std::vector<UpstreamRequest> sent;
  std::vector<AttemptId> cancelled;
  std::size_t capacity = 1'000;

 private:
  ReplyHandler handler_;
};

// Admits queries immediately unless `refusal` or `holds_queries` is set.
class ScriptedAdmission : public AdmissionQueue {
 public:
  void SetHandlers(AdmitHandler admit, RefuseHandler refuse) override {
    admit_ = std::move(admit);
    refuse_ = std::move(refuse);
  }
  void SetDocument(const Document&, std::size_t) override {}
  void Offer(const AdmissionRequest& admission_request) override {
    if (refusal)
      refuse_(admission_request.request, *refusal);
    else if (!holds_queries)
      admit_(admission_request.request);
  }
  bool CancelQueued(RequestId) override { return true; }
  void OnQueryFinished(RequestId, const AdmissionFeedback& feedback) override {
    feedbacks.push_back(feedback);
  }
  std::size_t queued() const override { return 0; }

  std::optional<ErrorKind> refusal;
  bool holds_queries = false;
  std::vector<AdmissionFeedback> feedbacks;

 private:
  AdmitHandler admit_;
  RefuseHandler refuse_;
};

// A map of four shards: a below "d", b below "h", c below "q", d above.
std::shared_ptr<const ShardMap> FourShards(std::uint64_t version);

// An engine with scripted dependencies. The service "s" has four shards.
class GatherTest : public testing::Test {
 protected:
  GatherTest();

  KindSpec& Kind(const std::string& name) {
    return document_->kinds[KindName(name)];
  }
  // Returns the request id. The answer is appended to answers_.
  RequestId Submit(const std::string& kind, const std::string& key = "");
  // Replies to an attempt with one record that names the shard and the version.
  void ReplyTo(std::size_t n, std::uint64_t index_version = 5);
  void ReplyTo(std::size_t n, UpstreamReply reply);
  void FailAttempt(std::size_t n, AttemptOutcome outcome, Execution execution);
  UpstreamReply SuccessfulReply(std::size_t n,
                                std::uint64_t index_version) const;
  const UpstreamRequest& Sent(std::size_t n) const {
    return transport_.sent.at(n);
  }
  QueryAnswer& OnlyAnswer();

  FakeTimerService timers_;
  ScriptedRouter router_;
  ScriptedTransport transport_;
  ScriptedAdmission admission_;
  std::shared_ptr<Document> document_ = std::make_shared<Document>();
  QueryEngineImpl engine_;
  std::vector<QueryAnswer> answers_;
  std::uint64_t last_request_ = 0;
};

}  // namespace jujubecove
