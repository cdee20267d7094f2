#include <gtest/gtest.h>

#include <algorithm>
#include <set>
#include <string>

#include "transport_fixture.h"

namespace jujubecove {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// The deadline of 400 ms allows 100 ms without a byte.
class SilenceTest : public TransportFixture {
 protected:
  // Answers on the sessions that are not in `silent`.
  RawSearcher::Handler RepliesUnlessSilent() {
    return [this](RawSearcher::Session& session, const RawRequest& request) {
      if (silent.count(session.number()) != 0)
        return;
      session.Write(request.start_line.starts_with("GET") ? PlainReply()
                                                          : GoodReply(request));
    };
  }

  std::int64_t SilentCount() const {
    return transport->upstream_stats().silent_connections.value();
  }

  std::set<int> silent;
};

// Guards against a query that waits out its deadline on a dead connection, and
// against a replacement that is made only on demand.
TEST_F(SilenceTest, EndsAttemptEarlyAndReplacesSilentConnection) {
  RawSearcher& searcher = AddSearcher(RepliesUnlessSilent());
  silent = {0};
  transport->Send(Request(searcher));
  Advance(milliseconds(96));
  EXPECT_TRUE(replies.empty());
  Advance(milliseconds(6));
  ASSERT_EQ(replies.size(), 1U);
  EXPECT_EQ(NameOf(replies[0].outcome), "silent");
  EXPECT_EQ(replies[0].execution, Execution::kUnknown);
  EXPECT_EQ(SilentCount(), 1);
  EXPECT_TRUE(searcher.sessions[0]->ended());
  EXPECT_EQ(searcher.sessions.size(), 2U);
  EXPECT_EQ(NameOf(SendAndWait(Request(searcher)).outcome), "ok");
}

// Guards against a bound that ignores what is known of the service's latency
// while other searchers show that the host and its network work.
TEST_F(SilenceTest, UsesShortTimeoutWhileOtherSearchersReply) {
  RawSearcher& searcher = AddSearcher(RepliesUnlessSilent());
  RawSearcher& other =
      AddSearcher([](RawSearcher::Session& session, const RawRequest& request) {
        session.Write(GoodReply(request));
      });
  ASSERT_EQ(NameOf(SendAndWait(Request(searcher)).outcome), "ok");
  silent = {0};
  transport->Send(Request(searcher));
  Advance(milliseconds(10));
  ASSERT_EQ(NameOf(SendAndWait(Request(other)).outcome), "ok");
  Advance(milliseconds(38));
  EXPECT_EQ(replies.size(), 2U);
  Advance(milliseconds(6));
  ASSERT_EQ(replies.size(), 3U);
  EXPECT_EQ(NameOf(replies[2].outcome), "silent");
}

// Guards against a stall of this host or its network that makes every
// connection look silent at the short bound.
TEST_F(SilenceTest, UsesLongTimeoutWhileNoSearcherReplies) {
  RawSearcher& searcher = AddSearcher(RepliesUnlessSilent());
  ASSERT_EQ(NameOf(SendAndWait(Request(searcher)).outcome), "ok");
  silent = {0};
  transport->Send(Request(searcher));
  Advance(milliseconds(96));
  EXPECT_EQ(replies.size(), 1U);
  Advance(milliseconds(6));
  ASSERT_EQ(replies.size(), 2U);
  EXPECT_EQ(NameOf(replies[1].outcome), "silent");
}

// Guards against time in which this process did not run being counted as the
// searcher's silence.
TEST_F(SilenceTest, ProcessPauseIsNotSilence) {
  RawSearcher& searcher = AddSearcher(RepliesUnlessSilent());
  silent = {0};
  transport->Send(Request(searcher));
  Advance(milliseconds(10));
  timer.Pause(milliseconds(150));
  Advance(milliseconds(80));
  EXPECT_TRUE(replies.empty());
  Advance(milliseconds(20));
  ASSERT_EQ(replies.size(), 1U);
  EXPECT_EQ(NameOf(replies[0].outcome), "silent");
}

// Guards against a dead searcher that is never blamed because each of its
// connections counts as silent.
TEST_F(SilenceTest, AttemptOnSilentReplacementTimesOut) {
  RawSearcher& searcher = AddSearcher(RepliesUnlessSilent());
  silent = {0, 1, 2, 3};
  transport->Send(Request(searcher));
  Advance(milliseconds(110));
  ASSERT_EQ(replies.size(), 1U);
  EXPECT_EQ(NameOf(replies[0].outcome), "silent");
  transport->Send(Request(searcher));
  Advance(milliseconds(390));
  EXPECT_EQ(replies.size(), 1U);
  Advance(milliseconds(20));
  ASSERT_EQ(replies.size(), 2U);
  EXPECT_EQ(NameOf(replies[1].outcome), "timed_out");
  EXPECT_EQ(replies[1].execution, Execution::kUnknown);
}

// Guards against the other connections that died with the first one being
// found out one query at a time.
TEST_F(SilenceTest, PingsIdleConnectionsWhenOneIsSilent) {
  RawSearcher& searcher = AddSearcher(RepliesUnlessSilent(), 4);
  silent = {0, 1, 2, 3};
  transport->Send(Request(searcher));
  Advance(milliseconds(160));
  ASSERT_EQ(replies.size(), 1U);
  EXPECT_EQ(NameOf(replies[0].outcome), "silent");
  EXPECT_EQ(SilentCount(), 4);
  EXPECT_EQ(searcher.OpenSessions(), 4U);
  EXPECT_EQ(searcher.sessions.size(), 8U);
  for (int n = 0; n < 4; ++n)
    transport->Send(Request(searcher));
  ASSERT_TRUE(RunUntil([&] { return replies.size() == 5; }));
  for (int n = 1; n <= 4; ++n)
    EXPECT_EQ(NameOf(replies[n].outcome), "ok");
}

// Guards against connections that work being closed together with the one that
// went silent.
TEST_F(SilenceTest, KeepsIdleConnectionsThatAnswerPing) {
  RawSearcher& searcher = AddSearcher(RepliesUnlessSilent(), 3);
  ASSERT_EQ(NameOf(SendAndWait(Request(searcher)).outcome), "ok");
  silent = {searcher.requests[0].session};
  transport->Send(Request(searcher));
  Advance(milliseconds(110));
  ASSERT_EQ(replies.size(), 2U);
  EXPECT_EQ(NameOf(replies[1].outcome), "silent");
  EXPECT_EQ(SilentCount(), 1);
  EXPECT_EQ(searcher.sessions.size(), 4U);
  EXPECT_EQ(searcher.OpenSessions(), 3U);
}

// Guards against a slow searcher whose connections are closed as silent: once
// it has been seen to answer slowly, its attempts run to their deadline.
TEST_F(SilenceTest, SlowSearcherIsNotSilent) {
  RawSearcher& searcher =
      AddSearcher([](RawSearcher::Session&, const RawRequest&) {});
  auto write_reply = [&] {
    searcher.sessions[0]->Write(GoodReply(searcher.requests.back()));
    RunUntilIdle();
  };
  transport->Send(Request(searcher));
  Advance(milliseconds(90));
  write_reply();
  ASSERT_EQ(replies.size(), 1U);
  // Twice the latency seen is longer than a quarter of the deadline.
  transport->Send(Request(searcher));
  Advance(milliseconds(170));
  EXPECT_EQ(replies.size(), 1U);
  write_reply();
  ASSERT_EQ(replies.size(), 2U);
  EXPECT_EQ(NameOf(replies[1].outcome), "ok");
  EXPECT_EQ(SilentCount(), 0);
}

// Guards against a slow request that is cut at the short bound although the
// searcher answers a ping on a connection just as old.
TEST_F(SilenceTest, UsesLongTimeoutWhenPingIsAnswered) {
  RawSearcher& searcher = AddSearcher(RepliesUnlessSilent(), 2);
  RawSearcher& other =
      AddSearcher([](RawSearcher::Session& session, const RawRequest& request) {
        session.Write(GoodReply(request));
      });
  ASSERT_EQ(NameOf(SendAndWait(Request(searcher)).outcome), "ok");
  silent = {searcher.requests[0].session};
  transport->Send(Request(searcher));
  Advance(milliseconds(40));
  ASSERT_EQ(NameOf(SendAndWait(Request(other)).outcome), "ok");
  Advance(milliseconds(50));
  EXPECT_EQ(replies.size(), 2U);
  EXPECT_EQ(searcher.requests.back().start_line, "GET /v1/ping HTTP/1.1");
  searcher.sessions[searcher.requests[1].session]->Write(
      GoodReply(searcher.requests[1]));
  RunUntilIdle();
  ASSERT_EQ(replies.size(), 3U);
  EXPECT_EQ(replies[2].attempt, AttemptId(2));
  EXPECT_EQ(NameOf(replies[2].outcome), "ok");
}

// Guards against a reply that trickles in being taken for silence, and against
// one that stops halfway being waited for.
TEST_F(SilenceTest, EachByteRestartsSilenceTimeout) {
  RawSearcher& searcher =
      AddSearcher([](RawSearcher::Session&, const RawRequest&) {});
  transport->Send(Request(searcher));
  RunUntilIdle();
  std::string reply = GoodReply(searcher.requests[0]);
  for (std::size_t n = 0; n < 3; ++n) {
    Advance(milliseconds(90));
    searcher.sessions[0]->Write(reply.substr(n, 1));
    RunUntilIdle();
  }
  EXPECT_TRUE(replies.empty());
  Advance(milliseconds(104));
  ASSERT_EQ(replies.size(), 1U);
  EXPECT_EQ(NameOf(replies[0].outcome), "silent");
  EXPECT_EQ(replies[0].execution, Execution::kUnknown);
}

// Guards against a pause of the process that makes every connection look
// silent although the replies are waiting to be read.
TEST_F(SilenceTest, UnreadReplyAfterPauseIsNotSilence) {
  RawSearcher& searcher = AddSearcher(
      [this](RawSearcher::Session& session, const RawRequest& request) {
        session.Write(GoodReply(request));
        // Runs the sweep before the event loop reads the reply.
        timer.AdvanceBy(milliseconds(200));
      });
  UpstreamReply reply = SendAndWait(Request(searcher));
  EXPECT_EQ(NameOf(reply.outcome), "ok");
  EXPECT_EQ(SilentCount(), 0);
}

// Guards against a non-idempotent request that is cut early, after which its
// outcome would be unknown for nothing.
TEST_F(SilenceTest, NonIdempotentRequestTimesOutAsUnknown) {
  RawSearcher& searcher = AddSearcher(RepliesUnlessSilent());
  silent = {0};
  UpstreamRequest request = Request(searcher);
  request.idempotent = false;
  transport->Send(request);
  Advance(milliseconds(396));
  EXPECT_TRUE(replies.empty());
  Advance(milliseconds(6));
  ASSERT_EQ(replies.size(), 1U);
  EXPECT_EQ(NameOf(replies[0].outcome), "timed_out");
  EXPECT_EQ(replies[0].execution, Execution::kUnknown);
}

// Guards against a late reply after the deadline that reaches another attempt
// or costs a connection that works.
TEST_F(SilenceTest, DiscardsLateReplyAndReusesConnection) {
  RawSearcher& searcher =
      AddSearcher([](RawSearcher::Session&, const RawRequest&) {});
  UpstreamRequest request = Request(searcher);
  request.idempotent = false;
  transport->Send(request);
  Advance(milliseconds(410));
  ASSERT_EQ(replies.size(), 1U);
  transport->Send(Request(searcher));
  RunUntilIdle();
  EXPECT_EQ(searcher.requests.size(), 1U);
  searcher.sessions[0]->Write(GoodReply(searcher.requests[0]));
  RunUntilIdle();
  EXPECT_EQ(replies.size(), 1U);
  ASSERT_EQ(searcher.requests.size(), 2U);
  searcher.sessions[0]->Write(GoodReply(searcher.requests[1], "[2]"));
  RunUntilIdle();
  ASSERT_EQ(replies.size(), 2U);
  EXPECT_EQ(replies[1].attempt, AttemptId(2));
  EXPECT_EQ(replies[1].body, "[2]");
}

}  // namespace
}  // namespace jujubecove
