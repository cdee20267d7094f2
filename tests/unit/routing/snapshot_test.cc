#include <gtest/gtest.h>

#include "tests/unit/routing/router_fixture.h"

namespace jujubecove {
namespace {

class SnapshotTest : public RouterFixture {
 protected:
  // Reports that the searcher holds only these versions under the map.
  void ReportVersions(std::size_t shard,
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

  std::uint64_t PickedVersion(const std::vector<SnapshotPin>& avoid = {}) {
    std::optional<SnapshotPin> pin = router_.PickSnapshot(service_, avoid);
    return pin ? pin->index_version.value() : 0;
  }

  ReplicaChoiceStatus StatusForVersion(std::uint64_t version,
                                       std::size_t shard = 0) {
    ReplicaRequest request = MakeRequest(shard);
    request.index_version = IndexVersion(version);
    return router_.ChooseReplica(request).status;
  }
};

// Guards against picking a version that some shard cannot serve.
TEST_F(SnapshotTest, PicksNewestVersionHeldByAllShards) {
  StartService(2, 2);
  ReportVersions(0, 0, {5, 6, 7});
  ReportVersions(0, 1, {5, 6, 7});
  ReportVersions(1, 0, {5, 6});
  ReportVersions(1, 1, {5, 6});
  EXPECT_EQ(PickedVersion(), 6U);
  EXPECT_EQ(StatusForVersion(7, 1), ReplicaChoiceStatus::kVersionUnavailable);
}

// Guards against picking a version with a single replica when the next older
// one has two, and against picking an even older version.
TEST_F(SnapshotTest, PrefersTwoReplicasIfOnlyOneVersionOlder) {
  StartService(1, 2);
  ReportVersions(0, 0, {6, 7});
  ReportVersions(0, 1, {6});
  EXPECT_EQ(PickedVersion(), 6U);
  ReportVersions(0, 0, {6, 7, 8});
  EXPECT_EQ(PickedVersion(), 8U);
}

// Guards against retrying a query at the version that has just failed.
TEST_F(SnapshotTest, SkipsAvoidedPins) {
  StartService(1, 2);
  ReportVersions(0, 0, {5, 6});
  ReportVersions(0, 1, {5, 6});
  EXPECT_EQ(PickedVersion({SnapshotPin{map_, IndexVersion(6)}}), 5U);
  EXPECT_EQ(PickedVersion({SnapshotPin{map_, IndexVersion(6)},
                           SnapshotPin{map_, IndexVersion(5)}}),
            0U);
}

// Guards against using a new map before all of its shards can be served.
TEST_F(SnapshotTest, UsesOlderMapUntilNewerIsFullyServed) {
  StartService(2, 2);
  std::shared_ptr<const ShardMap> newer = MakeMap(2, 2);
  router_.AddShardMap(service_, newer);
  ReportVersions(0, 0, {5}, 2);
  EXPECT_EQ(router_.PickSnapshot(service_, {})->map, map_);
  EXPECT_EQ(router_.CurrentMap(service_), map_);
  ReportVersions(1, 0, {5}, 2);
  EXPECT_EQ(router_.PickSnapshot(service_, {})->map, newer);
  EXPECT_EQ(router_.CurrentMap(service_), newer);
}

// Guards against unbounded memory for maps, and against an old map that
// replaces a newer one.
TEST_F(SnapshotTest, CatalogKeepsNewestThreeMaps) {
  ShardMapCatalog catalog;
  for (std::uint64_t version : {3, 9, 5, 7, 4})
    catalog.Add(MakeMap(version, 1));
  ASSERT_EQ(catalog.maps().size(), 3U);
  EXPECT_EQ(catalog.maps()[0]->version(), ShardMapVersion(9));
  EXPECT_EQ(catalog.maps()[2]->version(), ShardMapVersion(5));
  EXPECT_FALSE(catalog.Find(ShardMapVersion(4)));
}

// Guards against asking a searcher again for a version that it has just
// refused, because a report older than the refusal lists it.
TEST_F(SnapshotTest, RefusalOverridesStaleReport) {
  StartService(1, 1);
  AttemptId attempt = Send(IdOf(0, 0), IndexVersion(5));
  router_.OnReply(MakeReply(attempt, IdOf(0, 0),
                            AttemptOutcome::kRefusedVersion, Duration(100)));
  EXPECT_EQ(StatusForVersion(5), ReplicaChoiceStatus::kVersionUnavailable);
  router_.ApplyReport(MakeReport(0, 0));
  EXPECT_EQ(StatusForVersion(5), ReplicaChoiceStatus::kVersionUnavailable);
  timers_.AdvanceBy(Duration(2'000'000));
  router_.ApplyReport(MakeReport(0, 0));
  EXPECT_EQ(StatusForVersion(5), ReplicaChoiceStatus::kChosen);
  attempt = Send(IdOf(0, 0), IndexVersion(5));
  router_.OnReply(MakeReply(attempt, IdOf(0, 0), AttemptOutcome::kRefusedMap,
                            Duration(100)));
  EXPECT_EQ(router_.ChooseReplica(MakeRequest()).status,
            ReplicaChoiceStatus::kNoReplica);
}

// Guards against keeping outdated holdings after a reply with another version.
TEST_F(SnapshotTest, ReplyWithOtherVersionUpdatesHoldings) {
  StartService(1, 1);
  AttemptId attempt = Send(IdOf(0, 0), IndexVersion(5));
  UpstreamReply reply =
      MakeReply(attempt, IdOf(0, 0), AttemptOutcome::kOk, Duration(6'000));
  reply.shard = ShardId("0");
  reply.index_version = IndexVersion(6);
  router_.OnReply(reply);
  EXPECT_EQ(StatusForVersion(5), ReplicaChoiceStatus::kVersionUnavailable);
  EXPECT_EQ(PickedVersion(), 6U);
}

// Guards against picking a version that only a draining searcher holds.
TEST_F(SnapshotTest, IgnoresDrainingSearchers) {
  StartService(1, 2);
  ReportVersions(0, 0, {5, 6});
  ReportVersions(0, 1, {5});
  vms_[0].leaving = true;
  router_.ApplyVmList(vms_);
  EXPECT_EQ(PickedVersion(), 5U);
}

}  // namespace
}  // namespace jujubecove
