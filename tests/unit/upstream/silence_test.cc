#include <gtest/gtest.h>

#include <algorithm>
#include <set>
#include <string>

#include "transport_fixture.h"

namespace jujubecove {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// With a deadline of 400 ms, the silence timeout is 100 ms.
class SilenceTest : public TransportFixture {
 protected:
  // Replies on all sessions that are not in `silent`.
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

// Guards against waiting for the deadline on a dead connection, and against
// replacing the connection only when the next attempt needs one.
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

// Guards against ignoring the known latency of the kind. Replies from other
// searchers show that this host and its network work.
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

// Guards against treating every connection as silent after a short stall of
// this host or its network.
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

// Guards against counting time in which this process did not run as silence of
// the searcher.
TEST_F(SilenceTest, ProcessPauseIsNotSilence) {
  RawSearcher& searcher = AddSearcher(RepliesUnlessSilent());
  silent = {0};
  transport->Send(Request(searcher));
  Advance(milliseconds(10));
  timer.SimulatePause(milliseconds(150));
  Advance(milliseconds(80));
  EXPECT_TRUE(replies.empty());
  Advance(milliseconds(20));
  ASSERT_EQ(replies.size(), 1U);
  EXPECT_EQ(NameOf(replies[0].outcome), "silent");
}

// Guards against a dead searcher that keeps its healthy state because all of
// its attempts end as silent, which does not count against a searcher.
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

// Guards against detecting connections that died together one by one, each with
// another attempt.
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

// Guards against closing working connections along with the silent one.
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

// Guards against closing connections of a slow searcher as silent. After a slow
// reply, the silence timeout is at least twice the latency seen.
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
  // Twice the latency seen is longer than a quarter of the time to the
  // deadline.
  transport->Send(Request(searcher));
  Advance(milliseconds(170));
  EXPECT_EQ(replies.size(), 1U);
  write_reply();
  ASSERT_EQ(replies.size(), 2U);
  EXPECT_EQ(NameOf(replies[1].outcome), "ok");
  EXPECT_EQ(SilentCount(), 0);
}

// Guards against ending a slow attempt at the short timeout although the
// searcher answers a ping on another connection.
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

// Guards against treating a slowly arriving reply as silence, and against
// waiting for the rest of one that stops halfway.
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

// Guards against treating connections as silent after a pause of the process
// although their replies are waiting to be read.
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

// Guards against ending a non-idempotent request early, which would make its
// outcome unknown without need.
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

// Guards against delivering a reply after the deadline to another attempt, and
// against closing its working connection.
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
