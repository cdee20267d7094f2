#include "tests/unit/gather/gather_fixture.h"

#include <algorithm>

namespace jujubecove {

std::optional<SnapshotPin> ScriptedRouter::PickSnapshot(
    const ServiceName&,
    const std::vector<SnapshotPin>& avoid) const {
  for (const SnapshotPin& pin : pins) {
    bool is_avoided = std::any_of(
        avoid.begin(), avoid.end(), [&pin](const SnapshotPin& other) {
          return other.map->version() == pin.map->version() &&
                 other.index_version == pin.index_version;
        });
    if (!is_avoided)
      return pin;
  }
  return std::nullopt;
}

ReplicaChoice ScriptedRouter::ChooseReplica(const ReplicaRequest& request) {
  if (without_replica.count(request.shard) != 0)
    return ReplicaChoice{ReplicaChoiceStatus::kNoReplica, {}};
  if (without_version.count(request.shard) != 0)
    return ReplicaChoice{ReplicaChoiceStatus::kVersionUnavailable, {}};
  if (at_limit.count(request.shard) != 0)
    return ReplicaChoice{ReplicaChoiceStatus::kAllAtLimit, {}};
  for (std::size_t n = 0; n < replicas; ++n) {
    SearcherId id(request.shard.value() + std::to_string(n));
    if (std::find(request.tried.begin(), request.tried.end(), id) ==
        request.tried.end())
      return ReplicaChoice{ReplicaChoiceStatus::kChosen, id};
  }
  return ReplicaChoice{request.index_version
                           ? ReplicaChoiceStatus::kVersionUnavailable
                           : ReplicaChoiceStatus::kNoReplica,
                       {}};
}

std::shared_ptr<const ShardMap> FourShards(std::uint64_t version) {
  return std::make_shared<const ShardMap>(
      ShardMap::Create(ShardMapVersion(version), {{ShardId("a"), {"", "d"}},
                                                  {ShardId("b"), {"d", "h"}},
                                                  {ShardId("c"), {"h", "q"}},
                                                  {ShardId("d"), {"q", ""}}})
          .value());
}

GatherTest::GatherTest()
    : engine_(
          EngineDependencies{timers_, router_, admission_, transport_, nullptr},
          EngineOptions(),
          1) {
  router_.current_map = FourShards(7);
  router_.pins = {{router_.current_map, IndexVersion(5)},
                  {router_.current_map, IndexVersion(4)}};
  document_->version = ConfigVersion(3);
  for (const char* name : {"read", "partial", "snapshot", "record"}) {
    KindSpec& spec = Kind(name);
    spec.name = KindName(name);
    spec.service = ServiceName("s");
  }
  Kind("partial").partial = true;
  Kind("partial").least_coverage = 0.5;
  Kind("snapshot").snapshot = true;
  Kind("record").idempotent = false;
  Kind("record").addressing = Addressing::kOneKey;
  engine_.SetDocument(document_);
}

RequestId GatherTest::Submit(const std::string& kind, const std::string& key) {
  QueryRequest request;
  request.id = RequestId(++last_request_);
  request.kind = KindName(kind);
  request.key = key;
  request.body = "{}";
  if (!Kind(kind).idempotent)
    request.idempotency_key = "ticket";
  engine_.Submit(std::move(request), [this](QueryAnswer answer) {
    answers_.push_back(std::move(answer));
  });
  return RequestId(last_request_);
}

UpstreamReply GatherTest::SuccessfulReply(std::size_t n,
                                          std::uint64_t index_version) const {
  const UpstreamRequest& sent = Sent(n);
  UpstreamReply reply;
  reply.attempt = sent.attempt;
  reply.searcher = sent.searcher;
  reply.outcome = AttemptOutcome::kOk;
  reply.execution = Execution::kRan;
  reply.shard = sent.shard;
  reply.map_version = sent.map_version;
  reply.index_version = IndexVersion(index_version);
  reply.body =
      "[\"" + sent.shard.value() + std::to_string(index_version) + "\"]";
  return reply;
}

void GatherTest::ReplyTo(std::size_t n, std::uint64_t index_version) {
  transport_.Reply(SuccessfulReply(n, index_version));
}

void GatherTest::ReplyTo(std::size_t n, UpstreamReply reply) {
  reply.attempt = Sent(n).attempt;
  transport_.Reply(std::move(reply));
}

void GatherTest::FailAttempt(std::size_t n,
                             AttemptOutcome outcome,
                             Execution execution) {
  UpstreamReply reply;
  reply.attempt = Sent(n).attempt;
  reply.searcher = Sent(n).searcher;
  reply.outcome = outcome;
  reply.execution = execution;
  transport_.Reply(std::move(reply));
}

QueryAnswer& GatherTest::OnlyAnswer() {
  EXPECT_EQ(answers_.size(), 1U);
  if (answers_.empty())
    answers_.emplace_back();
  return answers_.front();
}

}  // namespace jujubecove
