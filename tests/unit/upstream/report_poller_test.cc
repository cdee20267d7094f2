#include "upstream/report_poller.h"

#include <gtest/gtest.h>

#include <string>

#include "transport_fixture.h"

namespace jujubecove {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class ReportPollerTest : public TransportFixture {
 protected:
  ReportPollerTest() : poller(*transport, timer, 1) {
    poller.SetReportHandler([this](const SearcherReport& report) {
      reports.push_back(report);
      return true;
    });
    poller.SetMapHandler([this](const ServiceName& service,
                                std::shared_ptr<const ShardMap> map) {
      EXPECT_EQ(service, ServiceName("receipts"));
      maps.push_back(std::move(map));
      return accept_maps;
    });
  }

  RawSearcher::Handler RepliesAsSearcher() {
    return [this](RawSearcher::Session& session, const RawRequest& request) {
      if (request.start_line.starts_with("GET /v1/report "))
        session.Write(PlainReply(ReportBody()));
      else if (request.start_line.starts_with("GET /v1/map/"))
        session.Write(PlainReply(map_body));
      else
        session.Write(GoodReply(
            request, "[1]",
            "Jujubecove-Report: " + std::to_string(generation) + "\r\n"));
    };
  }

  std::string ReportBody() const {
    VersionedReport report;
    report.report.service = ServiceName("receipts");
    report.report.holdings = {{ShardMapVersion(7), {ShardId("s0")}, {}}};
    report.generation = generation;
    return EncodeReport(report);
  }

  std::size_t FetchCount(const RawSearcher& searcher, const std::string& path) {
    return static_cast<std::size_t>(
        std::count_if(searcher.requests.begin(), searcher.requests.end(),
                      [&](const RawRequest& it) {
                        return it.start_line == "GET " + path + " HTTP/1.1";
                      }));
  }

  std::uint64_t generation = 1;
  std::string map_body =
      R"({"version":7,"shards":[{"id":"s0","from":"","to":""}]})";
  bool accept_maps = true;
  std::vector<SearcherReport> reports;
  std::vector<std::shared_ptr<const ShardMap>> maps;
  ReportPoller poller;
};

// Guards against fetching the report only after the first attempt, and against
// fetching the same map more than once.
TEST_F(ReportPollerTest, FetchesReportAndMapOfNewSearcher) {
  RawSearcher& first = AddSearcher(RepliesAsSearcher(), 2);
  Advance(milliseconds(10));
  ASSERT_EQ(reports.size(), 1U);
  EXPECT_EQ(reports[0].searcher, first.id());
  ASSERT_EQ(maps.size(), 1U);
  EXPECT_EQ(maps[0]->version(), ShardMapVersion(7));
  AddSearcher(RepliesAsSearcher(), 2);
  Advance(milliseconds(10));
  EXPECT_EQ(reports.size(), 2U);
  EXPECT_EQ(maps.size(), 1U);
}

// Guards against noticing changed holdings only at the next poll, and against
// polling a searcher that sends replies.
TEST_F(ReportPollerTest, FetchesReportWhenReplyHasNewGeneration) {
  RawSearcher& searcher = AddSearcher(RepliesAsSearcher(), 2);
  Advance(milliseconds(10));
  ASSERT_EQ(reports.size(), 1U);
  for (int n = 0; n < 40; ++n) {
    ASSERT_EQ(NameOf(SendAndWait(Request(searcher)).outcome), "ok");
    Advance(milliseconds(100), milliseconds(50));
  }
  EXPECT_EQ(reports.size(), 1U);
  generation = 2;
  SendAndWait(Request(searcher));
  RunUntilIdle();
  EXPECT_EQ(reports.size(), 2U);
}

// Guards against missing the changes of a searcher that sends no replies.
TEST_F(ReportPollerTest, PollsIdleSearcherEachSecond) {
  RawSearcher& searcher = AddSearcher(RepliesAsSearcher());
  Advance(seconds(10), milliseconds(10));
  EXPECT_GE(FetchCount(searcher, "/v1/report"), 9U);
  EXPECT_LE(FetchCount(searcher, "/v1/report"), 11U);
}

// Guards against fetching the report after every reply because the generation
// in the reply header never matches the report.
TEST_F(ReportPollerTest, FetchesOnceWhenReplyContradictsReport) {
  RawSearcher& searcher = AddSearcher(
      [this](RawSearcher::Session& session, const RawRequest& request) {
        if (request.start_line.starts_with("GET"))
          RepliesAsSearcher()(session, request);
        else
          session.Write(GoodReply(request, "[1]", "Jujubecove-Report: 99\r\n"));
      },
      2);
  Advance(milliseconds(10));
  for (int n = 0; n < 20; ++n)
    SendAndWait(Request(searcher));
  RunUntilIdle();
  EXPECT_EQ(FetchCount(searcher, "/v1/report"), 2U);
}

// Guards against using an invalid map, and against never fetching it again
// after the searcher has corrected it.
TEST_F(ReportPollerTest, RejectsInvalidMapAndFetchesItAgain) {
  std::string valid = map_body;
  map_body = R"({"version":8,"shards":[{"id":"s0","from":"","to":""}]})";
  RawSearcher& searcher = AddSearcher(RepliesAsSearcher());
  Advance(milliseconds(10));
  EXPECT_EQ(FetchCount(searcher, "/v1/map/7"), 1U);
  map_body = R"({"version":7,"shards":[{"id":"s0","from":"","to":"h"}]})";
  Advance(milliseconds(1'500), milliseconds(10));
  EXPECT_EQ(FetchCount(searcher, "/v1/map/7"), 2U);
  EXPECT_TRUE(maps.empty());
  EXPECT_EQ(transport->upstream_stats().maps_rejected.value(), 2);
  map_body = valid;
  Advance(milliseconds(1'500), milliseconds(10));
  EXPECT_EQ(maps.size(), 1U);
  EXPECT_EQ(transport->upstream_stats().maps_fetched.value(), 1);
}

// Guards against losing a map because the ring to the query thread was full.
TEST_F(ReportPollerTest, FetchesMapAgainWhenHandlerRejectsIt) {
  accept_maps = false;
  AddSearcher(RepliesAsSearcher());
  Advance(milliseconds(10));
  EXPECT_EQ(maps.size(), 1U);
  accept_maps = true;
  Advance(seconds(3), milliseconds(10));
  EXPECT_EQ(maps.size(), 2U);
}

// Guards against polling a removed searcher.
TEST_F(ReportPollerTest, StopsPollingRemovedSearcher) {
  RawSearcher& searcher = AddSearcher(RepliesAsSearcher());
  Advance(milliseconds(10));
  std::size_t count = searcher.requests.size();
  transport->SetConnectionShare(searcher.id(), 0);
  Advance(seconds(3), milliseconds(10));
  EXPECT_EQ(searcher.requests.size(), count);
  EXPECT_EQ(searcher.OpenSessions(), 0U);
}

}  // namespace
}  // namespace jujubecove
