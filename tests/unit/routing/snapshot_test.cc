#include <gtest/gtest.h>

#include "tests/unit/routing/router_fixture.h"

namespace jujubecove {
namespace {

class SnapshotTest : public RouterFixture {
 protected:
  // The searcher holds these versions under the map, and nothing else.
  void Hold(std::size_t shard,
            std::size_t replica,
            const std::vector<std::uint64_t>& versions,
            std::uint64_t map_version = 1) {
    SearcherReport report = MakeReport(shard, replica);
    report.holdings[0].map_version = ShardMapVersion(map_version);
    report.holdings[0].index_versions.clear();
    for (std::uint64_t version : versions)
      report.holdings[0].index_versions.emplace_back(version);
    router_.ApplyReport(report);
  }

  std::uint64_t Picked(const std::vector<SnapshotPin>& avoid = {}) {
    std::optional<SnapshotPin> pin = router_.PickSnapshot(service_, avoid);
    return pin ? pin->index_version.value() : 0;
  }

  ReplicaChoiceStatus StatusAt(std::uint64_t version, std::size_t shard = 0) {
    ReplicaRequest request = Ask(shard);
    request.index_version = IndexVersion(version);
    return router_.ChooseReplica(request).status;
  }
};

// Guards against a pin that some shard cannot serve.
TEST_F(SnapshotTest, PicksTheNewestVersionOfAllShards) {
  Start(2, 2);
  Hold(0, 0, {5, 6, 7});
  Hold(0, 1, {5, 6, 7});
  Hold(1, 0, {5, 6});
  Hold(1, 1, {5, 6});
  EXPECT_EQ(Picked(), 6U);
  EXPECT_EQ(StatusAt(7, 1), ReplicaChoiceStatus::kVersionUnavailable);
}

// Guards against a pin without a second replica where one version older has
// one, and against going back further than that.
TEST_F(SnapshotTest, PrefersTwoReplicasAtMostOneVersionOlder) {
  Start(1, 2);
  Hold(0, 0, {6, 7});
  Hold(0, 1, {6});
  EXPECT_EQ(Picked(), 6U);
  Hold(0, 0, {6, 7, 8});
  EXPECT_EQ(Picked(), 8U);
}

// Guards against restarting a query at the version that has just failed.
TEST_F(SnapshotTest, SkipsPinsToAvoid) {
  Start(1, 2);
  Hold(0, 0, {5, 6});
  Hold(0, 1, {5, 6});
  EXPECT_EQ(Picked({SnapshotPin{map_, IndexVersion(6)}}), 5U);
  EXPECT_EQ(Picked({SnapshotPin{map_, IndexVersion(6)},
                    SnapshotPin{map_, IndexVersion(5)}}),
            0U);
}

// Guards against moving to a new map before all of its shards can be served.
TEST_F(SnapshotTest, FallsBackToAnOlderMap) {
  Start(2, 2);
  std::shared_ptr<const ShardMap> newer = MakeMap(2, 2);
  router_.AddShardMap(service_, newer);
  Hold(0, 0, {5}, 2);
  EXPECT_EQ(router_.PickSnapshot(service_, {})->map, map_);
  EXPECT_EQ(router_.CurrentMap(service_), map_);
  Hold(1, 0, {5}, 2);
  EXPECT_EQ(router_.PickSnapshot(service_, {})->map, newer);
  EXPECT_EQ(router_.CurrentMap(service_), newer);
}

// Guards against unbounded memory for maps, and against an old map that pushes
// out a newer one.
TEST_F(SnapshotTest, KeepsTheNewestThreeMaps) {
  ShardMapCatalog catalog;
  for (std::uint64_t version : {3, 9, 5, 7, 4})
    catalog.Add(MakeMap(version, 1));
  ASSERT_EQ(catalog.maps().size(), 3U);
  EXPECT_EQ(catalog.maps()[0]->version(), ShardMapVersion(9));
  EXPECT_EQ(catalog.maps()[2]->version(), ShardMapVersion(5));
  EXPECT_FALSE(catalog.Find(ShardMapVersion(4)));
}

// Guards against asking a searcher again for what it has just refused, and
// against believing a report that is older than the refusal.
TEST_F(SnapshotTest, RefusalsCorrectWhatIsHeld) {
  Start(1, 1);
  AttemptId attempt = Send(IdOf(0, 0), IndexVersion(5));
  router_.OnReply(MakeReply(attempt, IdOf(0, 0),
                            AttemptOutcome::kRefusedVersion, Duration(100)));
  EXPECT_EQ(StatusAt(5), ReplicaChoiceStatus::kVersionUnavailable);
  router_.ApplyReport(MakeReport(0, 0));
  EXPECT_EQ(StatusAt(5), ReplicaChoiceStatus::kVersionUnavailable);
  timers_.AdvanceBy(Duration(2'000'000));
  router_.ApplyReport(MakeReport(0, 0));
  EXPECT_EQ(StatusAt(5), ReplicaChoiceStatus::kChosen);
  attempt = Send(IdOf(0, 0), IndexVersion(5));
  router_.OnReply(MakeReply(attempt, IdOf(0, 0), AttemptOutcome::kRefusedMap,
                            Duration(100)));
  EXPECT_EQ(router_.ChooseReplica(Ask()).status,
            ReplicaChoiceStatus::kNoReplica);
}

// Guards against a reply under another version leaving the belief as it was.
TEST_F(SnapshotTest, RepliesCorrectWhatIsHeld) {
  Start(1, 1);
  AttemptId attempt = Send(IdOf(0, 0), IndexVersion(5));
  UpstreamReply reply =
      MakeReply(attempt, IdOf(0, 0), AttemptOutcome::kOk, Duration(6'000));
  reply.shard = ShardId("0");
  reply.index_version = IndexVersion(6);
  router_.OnReply(reply);
  EXPECT_EQ(StatusAt(5), ReplicaChoiceStatus::kVersionUnavailable);
  EXPECT_EQ(Picked(), 6U);
}

// Guards against a pin that rests on a searcher which is leaving.
TEST_F(SnapshotTest, LeavingSearchersDoNotCount) {
  Start(1, 2);
  Hold(0, 0, {5, 6});
  Hold(0, 1, {5});
  vms_[0].leaving = true;
  router_.ApplyVmList(vms_);
  EXPECT_EQ(Picked(), 5U);
}

}  // namespace
}  // namespace jujubecove
