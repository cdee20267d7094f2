#include "upstream/report_codec.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <set>
#include <string>
#include <vector>

namespace jujubecove {
namespace {

VersionedReport SampleReport() {
  VersionedReport sample;
  sample.report.searcher = SearcherId("127.0.0.1:9000");
  sample.report.service = ServiceName("weighbridge");
  sample.report.holdings = {{ShardMapVersion(7),
                             {ShardId("s0"), ShardId("s1")},
                             {IndexVersion(41), IndexVersion(42)}}};
  sample.report.slots = 2;
  sample.report.in_flight = 1;
  sample.report.draining = true;
  sample.report.healthy = false;
  sample.generation = 9;
  return sample;
}

// Guards against members that encoding or decoding loses or mixes up.
TEST(ReportCodecTest, ReportRoundTrips) {
  VersionedReport sample = SampleReport();
  VersionedReport copy =
      DecodeReport(sample.report.searcher, EncodeReport(sample)).value();
  EXPECT_EQ(copy.generation, 9U);
  EXPECT_EQ(copy.report.searcher, sample.report.searcher);
  EXPECT_EQ(copy.report.service, sample.report.service);
  ASSERT_EQ(copy.report.holdings.size(), 1U);
  EXPECT_EQ(copy.report.holdings[0].map_version, ShardMapVersion(7));
  EXPECT_EQ(copy.report.holdings[0].shards, sample.report.holdings[0].shards);
  EXPECT_EQ(copy.report.holdings[0].index_versions,
            sample.report.holdings[0].index_versions);
  EXPECT_EQ(copy.report.slots, 2U);
  EXPECT_EQ(copy.report.in_flight, 1U);
  EXPECT_TRUE(copy.report.draining);
  EXPECT_FALSE(copy.report.healthy);
}

// Guards against changes of the wire format, which users' searchers implement.
TEST(ReportCodecTest, DecodesDocumentedFormat) {
  VersionedReport report =
      DecodeReport(SearcherId("a"),
                   R"({"service":"s","holdings":[{"map":7,"shards":["s0"],)"
                   R"("index_versions":[41,42]}],"slots":2,"in_flight":0,)"
                   R"("draining":false,"healthy":true,"generation":3,"x":1})")
          .value();
  EXPECT_EQ(report.report.holdings.at(0).index_versions.at(1),
            IndexVersion(42));
  ShardMap map = DecodeShardMap(R"({"version":7,"shards":[)"
                                R"({"id":"s0","from":"","to":"h"},)"
                                R"({"id":"s1","from":"h","to":""}]})")
                     .value();
  EXPECT_EQ(map.version(), ShardMapVersion(7));
  EXPECT_EQ(map.IndexOfKey("k"), 1U);
}

class InvalidReportTest : public testing::TestWithParam<const char*> {};

// Guards against taking a malformed report for an empty one.
TEST_P(InvalidReportTest, IsRejected) {
  EXPECT_FALSE(DecodeReport(SearcherId("a"), GetParam()));
}

INSTANTIATE_TEST_SUITE_P(
    Faults,
    InvalidReportTest,
    testing::Values(
        "",
        "[]",
        "{}",
        R"({"service":"s"})",
        R"({"service":"s","holdings":[3],"slots":2,"in_flight":0,)"
        R"("draining":false,"healthy":true,"generation":3})",
        R"({"service":"s","holdings":[],"slots":-2,"in_flight":0,)"
        R"("draining":false,"healthy":true,"generation":3})",
        R"({"service":"s","holdings":[],"slots":4294967296,"in_flight":0,)"
        R"("draining":false,"healthy":true,"generation":3})",
        R"({"service":"s","holdings":[{"map":1,"shards":[2],)"
        R"("index_versions":[]}],"slots":2,"in_flight":0,)"
        R"("draining":false,"healthy":true,"generation":3})"));

class InvalidMapBodyTest : public testing::TestWithParam<const char*> {};

// Guards against accepting a map that has a gap or is truncated.
TEST_P(InvalidMapBodyTest, IsRejected) {
  EXPECT_FALSE(DecodeShardMap(GetParam()));
}

INSTANTIATE_TEST_SUITE_P(
    Faults,
    InvalidMapBodyTest,
    testing::Values(
        "{\"version\":7,\"shards\":[",
        R"({"version":7,"shards":[]})",
        R"({"version":7,"shards":[{"id":"a","from":""}]})",
        R"({"version":7,"shards":[{"id":"a","from":"","to":"h"}]})",
        R"({"version":"7","shards":[{"id":"a","from":"","to":""}]})"));

// Guards against an encoding that alters keys, which would move shard
// boundaries.
RC_GTEST_PROP(ReportCodecProperty, ShardMapRoundTrips, ()) {
  auto cuts = *rc::gen::container<std::set<std::string>>(
      rc::gen::nonEmpty(rc::gen::string<std::string>()));
  std::vector<std::string> bounds{""};
  for (const std::string& cut : cuts) {
    // JSON text is UTF-8, so only ASCII keys are used.
    bool ascii =
        std::all_of(cut.begin(), cut.end(), [](char c) { return c > 0; });
    if (ascii)
      bounds.push_back(cut);
  }
  std::vector<ShardEntry> shards;
  for (std::size_t n = 0; n < bounds.size(); ++n) {
    std::string to = n + 1 < bounds.size() ? bounds[n + 1] : "";
    shards.push_back({ShardId("s" + std::to_string(n)), {bounds[n], to}});
  }
  ShardMap map = ShardMap::Create(ShardMapVersion(5), shards).value();
  ShardMap copy = DecodeShardMap(EncodeShardMap(map)).value();
  RC_ASSERT(copy.version() == map.version());
  RC_ASSERT(copy.size() == map.size());
  for (std::size_t n = 0; n < map.size(); ++n)
    RC_ASSERT(copy.shards()[n].range == map.shards()[n].range);
}

}  // namespace
}  // namespace jujubecove
