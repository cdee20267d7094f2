#include "tests/unit/dispatch/dispatch_fixture.h"

namespace jujubecove {
namespace {

// Load: requests that may be handled in some regions only, while searchers of
// other regions are idle. "zone" is in region "r", "other" in "s".
class RegionLimitTest : public DispatchFixture {
 protected:
  void SetUp() override {
    Configure(1, 1.0);
    SearcherEntry near = MakeSearcher("single", 0);
    SearcherEntry far = MakeSearcher("single", 1);
    far.zone = ZoneName("other");
    for (const SearcherEntry& it : {near, far})
      dispatcher_.OnSearcherChange(SearcherChange::kAdded, it);
  }
  void KnowRegions() {
    DispatchOptions options = Options();
    options.zone_regions = {{ZoneName("zone"), RegionName("r")},
                            {ZoneName("other"), RegionName("s")}};
    dispatcher_.SetOptions(options);
  }
  void Allow(std::vector<RegionName> route, std::vector<RegionName> workspace) {
    ServingConfig config = dispatcher_.table()->config();
    for (Route& it : config.routes)
      it.allowed_regions = route;
    config.workspaces = {{WorkspaceName("w")}};
    config.workspaces[0].allowed_regions = std::move(workspace);
    dispatcher_.SetTable(std::make_shared<const RouteTable>(config));
  }
  void SubmitFor(const std::string& workspace) {
    auto request = std::make_shared<ForwardedRequest>();
    request->id = "w" + std::to_string(++submitted_);
    request->method = "GET";
    request->target = "/single/1";
    request->host = "host";
    request->received = timers_.Now();
    request->workspace = WorkspaceName(workspace);
    answer_.reset();
    dispatcher_.Submit(
        request, [this](CallerAnswer answer) { answer_ = std::move(answer); });
  }
};

TEST_F(RegionLimitTest, SendsRequestsToAllowedRegionsOnly) {
  KnowRegions();
  Allow({RegionName("s")}, {});
  for (int n = 0; n < 20; ++n) {
    Submit("/single/1");
    ASSERT_EQ(PendingAt("single"), "single.1");
    transport_.Succeed("single.1");
  }
  // A hedge must not leave the region either.
  Submit("/single/1");
  Advance(500);
  EXPECT_EQ(transport_.pending().size(), 1U);
}

TEST_F(RegionLimitTest, AppliesLimitsOfRouteAndWorkspaceTogether) {
  KnowRegions();
  Allow({RegionName("r"), RegionName("s")}, {RegionName("s")});
  SubmitFor("w");
  EXPECT_EQ(PendingAt("single"), "single.1");
  Allow({RegionName("r")}, {RegionName("s")});
  SubmitFor("w");
  ASSERT_TRUE(answer_);
  EXPECT_EQ(answer_->error, ErrorKind::kNoUpstream);
  EXPECT_NE(answer_->reason.find("allowed region"), std::string::npos);
  EXPECT_TRUE(answer_->retry_after);
}

// Deployments that do not say which zone is in which region are served as
// before, and their operators are told.
TEST_F(RegionLimitTest, IgnoresLimitsWithoutKnownRegions) {
  Allow({RegionName("s")}, {});
  Submit("/single/1");
  EXPECT_EQ(PendingAt("single"), "single.0");
  EXPECT_NE(LogText().find("region_limits_ignored"), std::string::npos);
}

}  // namespace
}  // namespace jujubecove
