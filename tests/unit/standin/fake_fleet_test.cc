#include "tests/standin/fake_fleet.h"

#include <gtest/gtest.h>

#include "kernel/fake_timer_service.h"

namespace jujubecove::standin {
namespace {

class FakeFleetTest : public testing::Test {
 protected:
  FakeFleetTest() : fleet_(timers_, 1), transport_(fleet_, 1) {
    FleetService service;
    service.name = kService;
    fleet_.AddService(service);
    transport_.SetReplyHandler(
        [this](UpstreamReply reply) { replies_.push_back(std::move(reply)); });
  }

  UpstreamReply SendAndWait(bool idempotent = true) {
    UpstreamRequest request;
    request.attempt = AttemptId(++attempts_);
    request.searcher = searcher_;
    request.shard = ShardId("s2");
    request.map_version = ShardMapVersion(1);
    request.deadline = timers_.Now() + Duration(100'000);
    if (!idempotent)
      request.idempotency_key = "ticket";
    transport_.Send(std::move(request));
    timers_.AdvanceBy(Duration(200'000));
    EXPECT_EQ(replies_.size(), attempts_);
    return replies_.back();
  }

  const ServiceName kService{"weighbridge"};
  const SearcherId searcher_ = FakeFleet::IdOf(kService, 2, 0);
  FakeTimerService timers_;
  FakeFleet fleet_;
  FakeTransport transport_;
  std::vector<UpstreamReply> replies_;
  std::size_t attempts_ = 0;
};

// Guards against a stand-in that answers with another shard's records.
TEST_F(FakeFleetTest, AnswersWithBucketsOfRequestedShard) {
  UpstreamReply reply = SendAndWait();
  EXPECT_EQ(reply.outcome, AttemptOutcome::kOk);
  EXPECT_EQ(reply.shard, ShardId("s2"));
  EXPECT_EQ(reply.body, fleet_.topology(kService).RecordsOf(
                            ShardMapVersion(1), 2, IndexVersion(1)));
}

// Without an effect of a lost reply, the at-most-once experiments could not
// fail.
TEST_F(FakeFleetTest, RequestWithLostReplyTakesEffect) {
  SearcherFaults faults;
  faults.lost_reply_share = 1.0;
  fleet_.searcher(searcher_).SetFaults(faults);
  UpstreamReply reply = SendAndWait(false);
  EXPECT_EQ(reply.outcome, AttemptOutcome::kConnectionLost);
  EXPECT_EQ(reply.execution, Execution::kUnknown);
  EXPECT_EQ(fleet_.effect_counter().CountOf("ticket"), 1U);
}

// Guards against a refusal after execution has started.
TEST_F(FakeFleetTest, DrainingSearcherRefusesBeforeExecution) {
  SearcherFaults faults;
  faults.draining = true;
  fleet_.searcher(searcher_).SetFaults(faults);
  UpstreamReply reply = SendAndWait(false);
  EXPECT_EQ(reply.outcome, AttemptOutcome::kRefusedDraining);
  EXPECT_EQ(reply.execution, Execution::kNotRun);
  EXPECT_EQ(fleet_.effect_counter().CountOf("ticket"), 0U);
}

// Guards against moved shard boundaries that lose or duplicate a bucket.
TEST_F(FakeFleetTest, EveryShardMapCoversEachBucketOnce) {
  const ServiceTopology& topology = fleet_.topology(kService);
  for (std::uint64_t version = 1; version < 8; ++version) {
    std::size_t buckets = 0;
    for (std::size_t shard = 0; shard < topology.shard_count(); ++shard) {
      std::string records =
          topology.RecordsOf(ShardMapVersion(version), shard, IndexVersion(1));
      for (char c : records)
        buckets += c == '{' ? 1 : 0;
    }
    EXPECT_EQ(buckets, topology.bucket_count());
  }
}

}  // namespace
}  // namespace jujubecove::standin
