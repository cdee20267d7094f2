#include <gtest/gtest.h>

#include <string>

#include "config/activator.h"
#include "config/config_agent.h"
#include "tests/standin/config_fleet.h"

namespace jujubecove {
namespace {

constexpr Duration kSecond(1'000'000);

// Guards against the first document never reaching daemons that hold none, and
// against readiness before it has.
TEST(ConfigScenarioTest, FirstDocumentMakesDaemonsReady) {
  ConfigFleet fleet(1, 3, 4);
  fleet.Run(kSecond);
  EXPECT_FALSE(fleet.node(0).agent().ready());
  EXPECT_NE(fleet.node(0).agent().NotReadyReason().find("activated"),
            std::string::npos);
  ApplyReport report = fleet.Apply(SampleDocument(3, 100));
  EXPECT_EQ(report.outcome, ApplyOutcome::kInForce) << report.reason;
  EXPECT_TRUE(report.everywhere);
  EXPECT_TRUE(fleet.AllAt(report.version));
  for (std::size_t slot = 0; slot < fleet.size(); ++slot)
    EXPECT_TRUE(fleet.node(slot).agent().ready()) << slot;
}

// Guards against an activation before the daemons hold the document.
TEST(ConfigScenarioTest, EveryDaemonHoldsAVersionBeforeItIsActivated) {
  ConfigFleet fleet(2, 3, 12);
  fleet.Run(kSecond);
  ConfigFleet::Operator tool(fleet);
  tool.Apply(SampleDocument(3, 100));
  ASSERT_TRUE(fleet.RunUntil(
      [&] {
        return fleet.model().Read(kActiveKey).status == StoreStatus::kDone;
      },
      kSecond * 20));
  for (std::size_t slot = 0; slot < fleet.size(); ++slot) {
    wire::ExchangeMessage message;
    fleet.node(slot).agent().Fill(message);
    EXPECT_TRUE(message.config.staged) << slot;
  }
}

// Guards against serving stopping, or changes being lost, while the store is
// down.
TEST(ConfigScenarioTest, StoreOutageKeepsTheVersionAndReportsNowhere) {
  ConfigFleet fleet(3, 3, 6);
  ASSERT_EQ(fleet.Apply(SampleDocument(3, 100)).outcome,
            ApplyOutcome::kInForce);
  fleet.model().SetFaults(StoreFaults{.outage = true});
  ApplyReport report = fleet.Apply(SampleDocument(3, 200));
  EXPECT_EQ(report.outcome, ApplyOutcome::kNowhere);
  EXPECT_TRUE(fleet.AllAt(ConfigVersion(1)));
  fleet.model().SetFaults(StoreFaults{});
  report = fleet.Apply(SampleDocument(3, 200));
  EXPECT_EQ(report.outcome, ApplyOutcome::kInForce);
  EXPECT_TRUE(fleet.AllAt(report.version));
}

// Guards against a replaced daemon needing the store, and against one that
// claims to be ready with nothing.
TEST(ConfigScenarioTest, ReplacedDaemonTakesTheVersionOfItsPeers) {
  ConfigFleet fleet(4, 3, 6);
  ASSERT_EQ(fleet.Apply(SampleDocument(3, 100)).outcome,
            ApplyOutcome::kInForce);
  fleet.model().SetFaults(StoreFaults{.outage = true});
  fleet.Replace(2);
  EXPECT_FALSE(fleet.node(2).agent().ready());
  fleet.Run(kSecond * 3);
  EXPECT_TRUE(fleet.node(2).agent().ready());
  EXPECT_EQ(fleet.node(2).agent().active_version(), ConfigVersion(1));
  for (std::size_t slot = 0; slot < fleet.size(); ++slot)
    fleet.Replace(slot);
  fleet.Run(kSecond * 20);
  EXPECT_FALSE(fleet.node(0).agent().ready());
  EXPECT_NE(fleet.node(0).agent().NotReadyReason().find("no peer"),
            std::string::npos);
}

// Guards against a partitioned zone holding up every change, going back, or
// staying behind once it is reachable again.
TEST(ConfigScenarioTest, PartitionedZoneKeepsItsVersionAndCatchesUp) {
  ConfigFleet fleet(5, 3, 9);
  ASSERT_EQ(fleet.Apply(SampleDocument(3, 100)).outcome,
            ApplyOutcome::kInForce);
  fleet.SetIsolated(1, true);
  fleet.Run(kSecond * 10);
  ApplyReport report = fleet.Apply(SampleDocument(3, 200));
  EXPECT_EQ(report.outcome, ApplyOutcome::kInForce) << report.reason;
  EXPECT_FALSE(report.everywhere);
  for (const ZoneReport& zone : report.zones)
    EXPECT_EQ(zone.in_force, zone.zone != "zone1") << zone.zone;
  EXPECT_EQ(fleet.node(1).agent().active_version(), ConfigVersion(1));
  EXPECT_TRUE(fleet.node(1).agent().ready());
  fleet.SetIsolated(1, false);
  EXPECT_TRUE(
      fleet.RunUntil([&] { return fleet.AllAt(report.version); }, kSecond * 6));
}

// Guards against two operators both being told that their change is in force
// over the same version.
TEST(ConfigScenarioTest, TwoOperatorsGetOneSuccessAndOneConflict) {
  ConfigFleet fleet(6, 3, 6);
  ASSERT_EQ(fleet.Apply(SampleDocument(3, 100)).outcome,
            ApplyOutcome::kInForce);
  ConfigFleet::Operator first(fleet);
  ConfigFleet::Operator second(fleet);
  first.Apply(SampleDocument(3, 200));
  second.Apply(SampleDocument(3, 300));
  ASSERT_TRUE(fleet.RunUntil(
      [&] { return !first.reports.empty() && !second.reports.empty(); },
      kSecond * 60));
  int in_force = 0;
  for (const ApplyReport& report : {first.reports[0], second.reports[0]}) {
    in_force += report.outcome == ApplyOutcome::kInForce ? 1 : 0;
    EXPECT_NE(report.conflict, report.outcome == ApplyOutcome::kInForce);
  }
  EXPECT_EQ(in_force, 1);
}

// Guards against a change being reported as failed, or applied twice, because
// the reply to the activation was lost.
TEST(ConfigScenarioTest, LostRepliesAreResolvedByReading) {
  for (std::uint64_t seed = 10; seed < 20; ++seed) {
    ConfigFleet fleet(seed, 3, 4);
    fleet.model().SetFaults(
        StoreFaults{.latency = Duration(100'000), .lost_replies = 0.4});
    ApplyReport report = fleet.Apply(SampleDocument(3, 100));
    EXPECT_EQ(report.outcome, ApplyOutcome::kInForce)
        << seed << " " << report.reason;
    EXPECT_EQ(fleet.model().Read(kActiveKey).revision, StoreRevision(1));
  }
}

// Guards against a claim in either direction when the tool loses the store
// right after the activation was sent.
TEST(ConfigScenarioTest, UnresolvedActivationIsReportedAsUnknown) {
  ConfigFleet fleet(8, 3, 4);
  ASSERT_EQ(fleet.Apply(SampleDocument(3, 100)).outcome,
            ApplyOutcome::kInForce);
  ConfigFleet::Operator tool(fleet);
  fleet.model().AddListener([&tool](const std::string& key) {
    if (key == kActiveKey)
      tool.store.SetReachable(false);
  });
  tool.Apply(SampleDocument(3, 200));
  ASSERT_TRUE(
      fleet.RunUntil([&] { return !tool.reports.empty(); }, kSecond * 120));
  EXPECT_EQ(tool.reports[0].outcome, ApplyOutcome::kUnknown);
  EXPECT_TRUE(fleet.AllAt(tool.reports[0].version));
}

// Guards against a tool that was paused before its activation overwriting a
// change that was made meanwhile.
TEST(ConfigScenarioTest, PausedOperatorDoesNotUndoALaterChange) {
  ConfigFleet fleet(9, 3, 4);
  ASSERT_EQ(fleet.Apply(SampleDocument(3, 100)).outcome,
            ApplyOutcome::kInForce);
  ConfigFleet::Operator paused(fleet);
  paused.Apply(SampleDocument(3, 200));
  fleet.Run(kSecond / 200);
  paused.timers.Pause();
  ApplyReport later = fleet.Apply(SampleDocument(3, 300));
  EXPECT_EQ(later.outcome, ApplyOutcome::kInForce) << later.reason;
  paused.timers.Resume();
  ASSERT_TRUE(
      fleet.RunUntil([&] { return !paused.reports.empty(); }, kSecond * 120));
  EXPECT_EQ(paused.reports[0].outcome, ApplyOutcome::kNowhere);
  EXPECT_TRUE(paused.reports[0].conflict);
  EXPECT_EQ(fleet.node(0).agent().active_version(), later.version);
}

// Guards against an invalid document being activated: a daemon of another
// release may refuse what the tool accepts.
TEST(ConfigScenarioTest, RejectedDocumentIsInForceNowhere) {
  ConfigFleet fleet(7, 3, 6);
  ASSERT_EQ(fleet.Apply(SampleDocument(3, 100)).outcome,
            ApplyOutcome::kInForce);
  ApplyReport report =
      fleet.Apply(SampleDocument(3, 100) + "\n[novelty x]\nkey = 1\n");
  EXPECT_EQ(report.outcome, ApplyOutcome::kNowhere);
  EXPECT_NE(report.reason.find("unknown section"), std::string::npos)
      << report.reason;
  EXPECT_TRUE(fleet.AllAt(ConfigVersion(1)));
}

// Guards against a paused reader or relay acting on what it knew before.
TEST(ConfigScenarioTest, PausedDaemonNeitherStopsAChangeNorUndoesIt) {
  for (std::size_t paused = 0; paused < 6; ++paused) {
    ConfigFleet fleet(30 + paused, 3, 6);
    ASSERT_EQ(fleet.Apply(SampleDocument(3, 100)).outcome,
              ApplyOutcome::kInForce);
    ConfigFleet::Operator tool(fleet);
    tool.Apply(SampleDocument(3, 200));
    fleet.Run(kSecond / 100);
    fleet.node(paused).timers().Pause();
    ASSERT_TRUE(
        fleet.RunUntil([&] { return !tool.reports.empty(); }, kSecond * 60));
    EXPECT_EQ(tool.reports[0].outcome, ApplyOutcome::kInForce)
        << paused << " " << tool.reports[0].reason;
    ApplyReport third = fleet.Apply(SampleDocument(3, 300));
    EXPECT_EQ(third.outcome, ApplyOutcome::kInForce) << third.reason;
    fleet.node(paused).timers().Resume();
    EXPECT_TRUE(
        fleet.RunUntil([&] { return fleet.AllAt(third.version); }, kSecond * 6))
        << paused;
  }
}

}  // namespace
}  // namespace jujubecove
