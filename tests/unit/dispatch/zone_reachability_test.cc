#include "dispatch/zone_reachability.h"

#include <gtest/gtest.h>

#include "tests/unit/dispatch/dispatch_fixture.h"

namespace jujubecove {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Transport = FakeSearcherTransport;

const ZoneName kOwn("own");
const ZoneName kNear("near");
const ZoneName kFar("far");

class ZoneReachabilityTest : public testing::Test {
 protected:
  ZoneReachabilityTest() : zones_(kOwn) {
    for (const ZoneName& it : {kOwn, kNear, kFar})
      zones_.AddSearcher(it);
  }
  void LoseReplies(const ZoneName& zone, int count, TimePoint sent_at) {
    for (int n = 0; n < count; ++n) {
      zones_.OnNoReply(zone, InstanceId("i" + std::to_string(n)), sent_at,
                       sent_at + milliseconds(300));
    }
  }

  TimePoint now_{seconds(100)};
  ZoneReachability zones_;
};

TEST_F(ZoneReachabilityTest, SeveralSilentSearchersMakeZoneUnreachable) {
  LoseReplies(kNear, 2, now_);
  EXPECT_TRUE(zones_.IsReachable(kNear));
  LoseReplies(kNear, 3, now_);
  EXPECT_FALSE(zones_.IsReachable(kNear));
  EXPECT_TRUE(zones_.IsReachable(kFar));
  EXPECT_FALSE(zones_.IsIsolated());
  zones_.OnReply(kNear, now_ + seconds(1));
  EXPECT_TRUE(zones_.IsReachable(kNear));
}

// Searchers that are down must not make the others of their zone be avoided.
TEST_F(ZoneReachabilityTest, ReplyAfterSendOutweighsSilentSearchers) {
  zones_.OnReply(kNear, now_ + milliseconds(5));
  LoseReplies(kNear, 10, now_);
  EXPECT_TRUE(zones_.IsReachable(kNear));
}

TEST_F(ZoneReachabilityTest, OldSilenceDoesNotCount) {
  LoseReplies(kNear, 2, now_);
  zones_.OnNoReply(kNear, InstanceId("late"), now_ + seconds(10),
                   now_ + seconds(10));
  EXPECT_TRUE(zones_.IsReachable(kNear));
}

TEST_F(ZoneReachabilityTest, IsolatedWhenNoOtherZoneIsReachable) {
  LoseReplies(kNear, 3, now_);
  LoseReplies(kFar, 3, now_);
  EXPECT_TRUE(zones_.IsIsolated());
  zones_.OnReply(kFar, now_ + seconds(1));
  EXPECT_FALSE(zones_.IsIsolated());
}

// With one other zone, that zone may be the one that is cut off.
TEST_F(ZoneReachabilityTest, NotIsolatedFromSingleZone) {
  zones_.RemoveSearcher(kFar);
  LoseReplies(kNear, 3, now_);
  EXPECT_FALSE(zones_.IsIsolated());
}

// Load: this VM's availability zone is cut off from the two others, which hold
// the only searchers of some shards.
class IsolatedVmTest : public DispatchFixture {
 protected:
  static constexpr int kShards = 8;

  // Every second shard has a searcher in the own zone.
  void AddShards(double min_share) {
    Configure(kShards, min_share);
    for (int n = 0; n < kShards; ++n) {
      std::string service = "s" + std::to_string(n);
      Add(service, 0, n % 2 == 0 ? "zone" : "b");
      Add(service, 1, "b");
      Add(service, 2, "c");
    }
  }
  void Add(const std::string& service, int n, const std::string& zone) {
    SearcherEntry entry = MakeSearcher(service, n);
    entry.zone = ZoneName(zone);
    dispatcher_.OnSearcherChange(SearcherChange::kAdded, entry);
  }
  // Attempts at other zones fail to connect, those at the own one succeed.
  void AnswerAll() {
    while (!transport_.pending().empty()) {
      const Transport::PendingAttempt& sent =
          transport_.pending().begin()->second;
      AttemptReply reply =
          Transport::Success("p" + std::to_string(++proofs_), "");
      if (sent.searcher.zone.value() != "zone") {
        reply = Transport::Failure(AttemptResult::kNotSent);
        reply.connect_failed = true;
      }
      transport_.Answer(sent.searcher.id.value(), reply);
    }
  }
  void CutOff() {
    transport_.CutOff(ZoneName("b"));
    transport_.CutOff(ZoneName("c"));
    for (int n = 0; n < 3; ++n) {
      Submit("/scatter/1");
      Advance(300);
      AnswerAll();
      Advance(800);
    }
  }

  int proofs_ = 0;
};

TEST_F(IsolatedVmTest, RefusesAtOnceWhatItCannotServe) {
  AddShards(1.0);
  EXPECT_FALSE(dispatcher_.IsImpaired());
  CutOff();
  EXPECT_TRUE(dispatcher_.IsImpaired());
  std::size_t sent = transport_.send_order().size();
  Submit("/scatter/1");
  ASSERT_TRUE(answer_);
  EXPECT_EQ(answer_->error, ErrorKind::kNoUpstream);
  EXPECT_TRUE(answer_->retry_after);
  EXPECT_EQ(transport_.send_order().size(), sent);
}

TEST_F(IsolatedVmTest, ServesWhatItsOwnZoneCanServe) {
  AddShards(0.5);
  CutOff();
  EXPECT_FALSE(dispatcher_.IsImpaired());
  Submit("/scatter/1");
  EXPECT_FALSE(answer_);
  AnswerAll();
  Advance(100);
  ASSERT_TRUE(answer_);
  EXPECT_FALSE(answer_->error);
}

// Searchers of the own zone are preferred at once, without trying each of the
// others first.
TEST_F(IsolatedVmTest, ChoosesReachableSearchers) {
  AddShards(0.5);
  CutOff();
  Submit("/scatter/1");
  for (const auto& [id, sent] : transport_.pending()) {
    int shard = std::stoi(sent.searcher.service.value().substr(1));
    EXPECT_EQ(sent.searcher.zone.value() == "zone", shard % 2 == 0);
  }
}

TEST_F(IsolatedVmTest, ServesAgainWhenProbeSucceeds) {
  AddShards(1.0);
  CutOff();
  EXPECT_FALSE(transport_.probed().empty());
  transport_.Heal(ZoneName("b"));
  Advance(300);
  EXPECT_FALSE(dispatcher_.IsImpaired());
  Submit("/scatter/1");
  EXPECT_FALSE(answer_);
  transport_.Heal(ZoneName("c"));
  Advance(300);
  std::size_t probes = transport_.probed().size();
  Advance(2000);
  // At most one idle probe each half second is left.
  EXPECT_LE(transport_.probed().size(), probes + 4);
}

// Attempts that wait for a connection to the zone go elsewhere.
TEST_F(IsolatedVmTest, QueuedAttemptsLeaveUnreachableZone) {
  Configure(kShards, 1.0);
  for (int n = 0; n < kShards; ++n)
    Add("s" + std::to_string(n), 1, "b");
  transport_.CutOff(ZoneName("b"));
  transport_.StopWriting();
  Submit("/scatter/1");
  for (int n = 0; n < kShards; ++n)
    Add("s" + std::to_string(n), 2, "c");
  for (int n = 0; n < 3; ++n) {
    AttemptReply reply = Transport::Failure(AttemptResult::kNotSent);
    reply.connect_failed = true;
    EXPECT_TRUE(transport_.Answer("s" + std::to_string(n) + ".1", reply));
  }
  Advance(1);
  EXPECT_EQ(transport_.pending().size(), static_cast<std::size_t>(kShards));
  for (const auto& [id, sent] : transport_.pending())
    EXPECT_EQ(sent.searcher.zone.value(), "c");
}

// A daemon that has had no requests for a while must notice the partition
// before its next request, and must not probe while requests show the same.
TEST_F(IsolatedVmTest, IdleVmNoticesPartition) {
  AddShards(1.0);
  Advance(1000);
  EXPECT_FALSE(dispatcher_.IsImpaired());
  transport_.CutOff(ZoneName("b"));
  transport_.CutOff(ZoneName("c"));
  Advance(1500);
  EXPECT_TRUE(dispatcher_.IsImpaired());
}

TEST_F(IsolatedVmTest, BusyVmSendsNoIdleProbes) {
  AddShards(1.0);
  std::size_t probes = transport_.probed().size();
  for (int n = 0; n < 30; ++n) {
    Submit("/scatter/1");
    for (auto it = transport_.pending().begin();
         it != transport_.pending().end(); it = transport_.pending().begin()) {
      AttemptReply reply =
          Transport::Success("p" + std::to_string(++proofs_), "");
      reply.status = 200;
      transport_.Answer(it->second.searcher.id.value(), reply);
    }
    Advance(100);
  }
  EXPECT_LE(transport_.probed().size(), probes + 1);
}

// Attempts on connections that went silent show the partition too.
TEST_F(IsolatedVmTest, OverdueAttemptsShowPartition) {
  AddShards(1.0);
  transport_.CutOff(ZoneName("b"));
  transport_.CutOff(ZoneName("c"));
  for (int n = 0; n < 20; ++n) {
    Submit("/scatter/1");
    Advance(100);
  }
  EXPECT_TRUE(dispatcher_.IsImpaired());
}

}  // namespace
}  // namespace jujubecove
