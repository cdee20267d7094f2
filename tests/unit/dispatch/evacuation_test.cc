#include <algorithm>

#include "tests/unit/dispatch/dispatch_fixture.h"

namespace jujubecove {
namespace {

using Transport = FakeSearcherTransport;

// Load: the operators evacuate an availability zone, and take that back when
// its searchers may have become cold.
class EvacuationTest : public DispatchFixture {
 protected:
  // Adds searcher SERVICE.N in that zone.
  void AddIn(const std::string& zone, const std::string& service, int n) {
    SearcherEntry entry = MakeSearcher(service, n);
    entry.zone = ZoneName(zone);
    dispatcher_.OnSearcherChange(SearcherChange::kAdded, entry);
  }
  void SetEvacuated(const std::string& zone, bool evacuated) {
    dispatcher_.SetZoneEvacuated(ZoneName(zone), evacuated);
  }
  // Submits and answers that many requests, 10 ms apart, and returns how many
  // of them reached the searcher.
  int CountArrivals(const std::string& searcher, int requests) {
    int arrivals = 0;
    for (int n = 0; n < requests; ++n) {
      Submit("/single/1");
      std::string chosen = PendingAt("single");
      arrivals += chosen == searcher ? 1 : 0;
      transport_.Succeed(chosen);
      Advance(10);
    }
    return arrivals;
  }
};

TEST_F(EvacuationTest, SendsNothingNewToEvacuatedZone) {
  Configure(2, 1.0);
  for (const char* service : {"s0", "s1", "single"}) {
    AddIn("zone", service, 0);
    AddIn("other", service, 1);
  }
  SetEvacuated("zone", true);
  EXPECT_EQ(CountArrivals("single.0", 50), 0);
  Submit("/scatter/1");
  transport_.Answer("s0.1", Transport::Failure(AttemptResult::kFailure, 500));
  Advance(500);
  const std::vector<std::string>& order = transport_.send_order();
  EXPECT_TRUE(
      std::none_of(order.begin(), order.end(),
                   [](const std::string& it) { return it.ends_with(".0"); }));
  EXPECT_EQ(dispatcher_.evacuated_zones(), 1);
  EXPECT_NE(LogText().find("\"event\":\"zone_evacuated\""), std::string::npos);
}

// Guards against attempts that are written after the evacuation because they
// waited for a connection, and against ending those that run.
TEST_F(EvacuationTest, MovesWaitingAttemptsAndKeepsRunningOnes) {
  Configure(1, 1.0);
  AddIn("zone", "single", 0);
  AddIn("other", "single", 1);
  Submit("/single/1");
  ASSERT_EQ(PendingAt("single"), "single.0");
  SetEvacuated("zone", true);
  EXPECT_EQ(PendingAt("single"), "single.0");
  transport_.Succeed("single.0");
  EXPECT_EQ(answer_->status, 200);
  SetEvacuated("zone", false);
  Advance(6000);
  transport_.StopWriting();
  Submit("/single/1");
  ASSERT_EQ(PendingAt("single"), "single.0");
  SetEvacuated("zone", true);
  EXPECT_EQ(PendingAt("single"), "single.1");
}

TEST_F(EvacuationTest, RefusesAtOnceWhatOnlyTheZoneCouldServe) {
  Configure(2, 1.0);
  AddIn("zone", "single", 0);
  AddIn("zone", "s0", 0);
  AddIn("other", "s1", 0);
  SetEvacuated("zone", true);
  for (const char* target : {"/single/1", "/scatter/1"}) {
    Submit(target);
    ASSERT_TRUE(answer_) << target;
    EXPECT_EQ(answer_->error, ErrorKind::kNoUpstream) << target;
    EXPECT_NE(answer_->reason.find("evacuated"), std::string::npos) << target;
    EXPECT_TRUE(answer_->retry_after) << target;
  }
  SetEvacuated("zone", false);
  Submit("/single/1");
  EXPECT_EQ(PendingAt("single"), "single.0");
}

// A zone that returns must not get all of its requests in the first second.
TEST_F(EvacuationTest, TrafficReturnsGradually) {
  Configure(1, 1.0);
  AddIn("zone", "single", 0);
  AddIn("other", "single", 1);
  int usual = CountArrivals("single.0", 100);
  SetEvacuated("zone", true);
  CountArrivals("single.0", 100);
  SetEvacuated("zone", false);
  int first = CountArrivals("single.0", 100);
  EXPECT_LT(first, usual / 3);
  CountArrivals("single.0", 400);
  EXPECT_EQ(CountArrivals("single.0", 100), usual);
}

TEST_F(EvacuationTest, IgnoresUnknownZone) {
  Configure(1, 1.0);
  AddIn("zone", "single", 0);
  SetEvacuated("nowhere", true);
  EXPECT_EQ(CountArrivals("single.0", 5), 5);
  EXPECT_NE(LogText().find("\"zone\":\"nowhere\",\"searchers\":0"),
            std::string::npos);
}

}  // namespace
}  // namespace jujubecove
