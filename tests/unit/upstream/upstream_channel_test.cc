#include "upstream/upstream_channel.h"

#include <gtest/gtest.h>

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "kernel/asio_timer_service.h"
#include "transport_fixture.h"

namespace jujubecove {
namespace {

// Runs the event loops of both ends by turns on one thread.
class UpstreamChannelTest : public TransportFixture {
 protected:
  UpstreamChannelTest()
      : poller(*transport, timer, 1),
        channel(query_context, context, *transport, poller, 4) {
    channel.SetReplyHandler([this](UpstreamReply reply) {
      query_replies.push_back(std::move(reply));
    });
    channel.SetReportHandler(
        [this](const SearcherReport& report) { reports.push_back(report); });
    channel.SetMapHandler(
        [](const ServiceName&, std::shared_ptr<const ShardMap>) {});
  }

  void RunQueryThread() {
    query_context.restart();
    query_context.poll();
  }

  boost::asio::io_context query_context;
  ReportPoller poller;
  UpstreamChannel channel;
  std::vector<UpstreamReply> query_replies;
  std::vector<SearcherReport> reports;
};

// Guards against a full ring that blocks, loses an attempt, or calls the reply
// handler from within Send().
TEST_F(UpstreamChannelTest, FullRingEndsAttemptAsNotRun) {
  UpstreamRequest request;
  request.searcher = SearcherId("127.0.0.1:1");
  EXPECT_TRUE(channel.HasCapacityFor(4));
  EXPECT_FALSE(channel.HasCapacityFor(5));
  for (std::uint64_t n = 1; n <= 6; ++n) {
    request.attempt = AttemptId(n);
    channel.Send(request);
  }
  EXPECT_FALSE(channel.HasCapacityFor(1));
  EXPECT_TRUE(query_replies.empty());
  RunQueryThread();
  ASSERT_EQ(query_replies.size(), 2U);
  EXPECT_EQ(query_replies[0].attempt, AttemptId(5));
  EXPECT_EQ(NameOf(query_replies[0].outcome), "no_connection");
  EXPECT_EQ(query_replies[0].execution, Execution::kNotRun);
  RunUntilIdle();
  // Attempts count as outstanding until their replies are delivered.
  EXPECT_FALSE(channel.HasCapacityFor(1));
  RunQueryThread();
  EXPECT_EQ(query_replies.size(), 6U);
  EXPECT_TRUE(channel.HasCapacityFor(4));
}

// Guards against losing shares, cancellations or reports between the threads.
TEST_F(UpstreamChannelTest, ForwardsSharesCancellationsAndReports) {
  RawSearcher searcher(
      context, [](RawSearcher::Session& session, const RawRequest& request) {
        VersionedReport report;
        if (request.start_line.starts_with("GET"))
          session.Write(PlainReply(EncodeReport(report)));
      });
  channel.SetConnectionShare(searcher.id(), 1);
  RunUntilIdle();
  Advance(std::chrono::milliseconds(10));
  RunQueryThread();
  ASSERT_EQ(reports.size(), 1U);
  EXPECT_EQ(reports[0].searcher, searcher.id());
  UpstreamRequest request = Request(searcher);
  channel.Send(request);
  channel.Cancel(request.attempt);
  RunUntilIdle();
  RunQueryThread();
  ASSERT_EQ(query_replies.size(), 1U);
  EXPECT_EQ(NameOf(query_replies[0].outcome), "cancelled");
}

// Guards against losing or repeating a reply between two threads.
TEST(UpstreamChannelThreadsTest, EachSendHasExactlyOneReply) {
  constexpr std::uint64_t kAttempts = 5'000;
  boost::asio::io_context query_context;
  boost::asio::io_context upstream_context;
  AsioTimerService timer(upstream_context);
  HttpUpstreamTransport transport(upstream_context, timer, IncarnationId(0xabc),
                                  1);
  ReportPoller poller(transport, timer, 1);
  UpstreamChannel channel(query_context, upstream_context, transport, poller,
                          64);
  RawSearcher searcher(upstream_context, [](RawSearcher::Session& session,
                                            const RawRequest& request) {
    session.Write(GoodReply(request));
  });
  std::multiset<std::uint64_t> seen;
  std::uint64_t next = 0;
  auto send = [&] {
    while (next < kAttempts && channel.HasCapacityFor(1)) {
      UpstreamRequest request;
      request.attempt = AttemptId(++next);
      request.searcher = searcher.id();
      request.deadline = timer.Now() + std::chrono::seconds(60);
      request.shard = ShardId("s0");
      channel.Send(std::move(request));
    }
  };
  channel.SetReportHandler([](const SearcherReport&) {});
  channel.SetMapHandler(
      [](const ServiceName&, std::shared_ptr<const ShardMap>) {});
  channel.SetReplyHandler([&](const UpstreamReply& reply) {
    seen.insert(reply.attempt.value());
    if (seen.size() == kAttempts)
      query_context.stop();
    send();
  });
  channel.SetConnectionShare(searcher.id(), 8);
  auto query_guard = boost::asio::make_work_guard(query_context);
  auto upstream_guard = boost::asio::make_work_guard(upstream_context);
  boost::asio::post(query_context, send);
  std::thread upstream([&] { upstream_context.run(); });
  query_context.run_for(std::chrono::seconds(60));
  upstream_context.stop();
  upstream.join();
  EXPECT_EQ(seen.size(), kAttempts);
  EXPECT_EQ(std::set<std::uint64_t>(seen.begin(), seen.end()).size(),
            kAttempts);
}

}  // namespace
}  // namespace jujubecove
