#include <gtest/gtest.h>

#include <string>

#include "transport_fixture.h"

namespace jujubecove {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class SearcherPoolTest : public TransportFixture {
 protected:
  static RawSearcher::Handler RepliesToAll() {
    return [](RawSearcher::Session& session, const RawRequest& request) {
      session.Write(request.start_line.starts_with("GET") ? PlainReply()
                                                          : GoodReply(request));
    };
  }
  static RawSearcher::Handler NeverReplies() {
    return [](RawSearcher::Session&, const RawRequest&) {};
  }
};

// Guards against a request head that does not match the searcher protocol.
TEST_F(SearcherPoolTest, SendsAllProtocolHeaders) {
  RawSearcher& searcher = AddSearcher(RepliesToAll());
  UpstreamRequest request = Request(searcher);
  request.index_version = IndexVersion(41);
  request.idempotency_key = "ticket";
  request.traceparent = "00-aa-bb-01";
  UpstreamReply reply = SendAndWait(request);
  EXPECT_EQ(reply.shard, ShardId("s0"));
  EXPECT_EQ(reply.map_version, ShardMapVersion(7));
  EXPECT_EQ(reply.index_version, IndexVersion(41));
  EXPECT_EQ(reply.reported_in_flight, 1U);
  ASSERT_EQ(searcher.requests.size(), 1U);
  const RawRequest& seen = searcher.requests[0];
  EXPECT_EQ(seen.start_line, "POST /v1/execute HTTP/1.1");
  EXPECT_EQ(seen.Header("Host"), searcher.id().value());
  EXPECT_EQ(seen.Header("Jujubecove-Attempt"), "abc-5-1");
  EXPECT_EQ(seen.Header("Jujubecove-Kind"), "lookup");
  EXPECT_EQ(seen.Header("Jujubecove-Shard"), "s0");
  EXPECT_EQ(seen.Header("Jujubecove-Shard-Map"), "7");
  EXPECT_EQ(seen.Header("Jujubecove-Index-Version"), "41");
  EXPECT_EQ(seen.Header("Jujubecove-Deadline-Ms"), "400");
  EXPECT_EQ(seen.Header("Idempotency-Key"), "ticket");
  EXPECT_EQ(seen.Header("traceparent"), "00-aa-bb-01");
  EXPECT_EQ(seen.body, "{}");
}

// Guards against header injection through a value that the caller controls.
TEST_F(SearcherPoolTest, RejectsControlCharacterInHeader) {
  RawSearcher& searcher = AddSearcher(RepliesToAll());
  UpstreamRequest request = Request(searcher);
  request.idempotency_key = "a\r\nJujubecove-Shard: s1";
  UpstreamReply reply = SendAndWait(request);
  EXPECT_EQ(NameOf(reply.outcome), "failed");
  EXPECT_EQ(reply.execution, Execution::kNotRun);
  EXPECT_TRUE(searcher.requests.empty());
}

// Guards against truncating a request that exceeds the socket buffer or a reply
// that arrives in many reads.
TEST_F(SearcherPoolTest, CarriesLargeBodies) {
  std::string large(4'000'000, 'x');
  RawSearcher& searcher =
      AddSearcher([&](RawSearcher::Session& session, const RawRequest& it) {
        // Written asynchronously, since the reader runs on this thread.
        session.WriteAsync(GoodReply(it, it.body));
      });
  UpstreamRequest request = Request(searcher);
  request.body = std::make_shared<const std::string>(large);
  UpstreamReply reply = SendAndWait(request);
  EXPECT_EQ(NameOf(reply.outcome), "ok");
  EXPECT_TRUE(reply.body == large);
}

// Guards against opening more connections than the share while many attempts
// wait.
TEST_F(SearcherPoolTest, LimitsConnectionsToShareAndClosesSurplus) {
  RawSearcher& searcher = AddSearcher(NeverReplies(), 3);
  for (int n = 0; n < 10; ++n)
    transport->Send(Request(searcher));
  RunUntilIdle();
  EXPECT_EQ(searcher.sessions.size(), 3U);
  EXPECT_EQ(searcher.requests.size(), 3U);
  transport->SetConnectionShare(searcher.id(), 1);
  // Busy connections are kept until their replies have arrived.
  EXPECT_EQ(transport->ConnectionCount(searcher.id()), 3U);
  for (std::size_t n = 0; n < 3; ++n) {
    RawRequest request = searcher.requests[n];
    searcher.sessions[request.session]->Write(GoodReply(request));
  }
  RunUntilIdle();
  EXPECT_EQ(transport->ConnectionCount(searcher.id()), 1U);
  EXPECT_EQ(searcher.OpenSessions(), 1U);
  transport->SetConnectionShare(searcher.id(), 0);
  RunUntilIdle();
  EXPECT_EQ(replies.size(), 9U);
  RawRequest last = searcher.requests.back();
  searcher.sessions[last.session]->Write(GoodReply(last));
  RunUntilIdle();
  EXPECT_EQ(replies.size(), 10U);
  EXPECT_EQ(NameOf(replies.back().outcome), "ok");
  EXPECT_EQ(searcher.OpenSessions(), 0U);
}

// Guards against an attempt that waits past its deadline, or whose execution is
// reported as unknown although no byte was written.
TEST_F(SearcherPoolTest, ExpiredWaitingAttemptIsNotRun) {
  RawSearcher& searcher = AddSearcher(NeverReplies());
  UpstreamRequest busy = Request(searcher);
  busy.idempotent = false;
  transport->Send(busy);
  UpstreamRequest waiting = Request(searcher);
  waiting.deadline = timer.Now() + milliseconds(100);
  transport->Send(waiting);
  Advance(milliseconds(98));
  EXPECT_TRUE(replies.empty());
  Advance(milliseconds(4));
  ASSERT_EQ(replies.size(), 1U);
  EXPECT_EQ(replies[0].attempt, waiting.attempt);
  EXPECT_EQ(NameOf(replies[0].outcome), "no_connection");
  EXPECT_EQ(replies[0].execution, Execution::kNotRun);
}

// Guards against an unbounded queue when a searcher stalls.
TEST_F(SearcherPoolTest, RejectsAttemptWhenQueueIsFull) {
  UpstreamOptions options;
  options.max_waiting_attempts = 2;
  CreateTransport(options);
  RawSearcher& searcher = AddSearcher(NeverReplies());
  for (int n = 0; n < 4; ++n)
    transport->Send(Request(searcher));
  RunUntilIdle();
  ASSERT_EQ(replies.size(), 1U);
  EXPECT_EQ(replies[0].attempt, AttemptId(4));
  EXPECT_EQ(NameOf(replies[0].outcome), "no_connection");
  EXPECT_EQ(replies[0].execution, Execution::kNotRun);
}

// Guards against holding attempts at an unreachable searcher until their
// deadline, and against reconnecting without backoff.
TEST_F(SearcherPoolTest, FailsAttemptsAtOnceWhenSearcherIsUnreachable) {
  RawSearcher& searcher = AddSearcher(RepliesToAll());
  searcher.StopAccepting();
  searcher.sessions[0]->Close();
  UpstreamReply reply = SendAndWait(Request(searcher));
  EXPECT_EQ(reply.execution, NameOf(reply.outcome) == "connection_lost"
                                 ? Execution::kUnknown
                                 : Execution::kNotRun);
  RunUntilIdle();
  reply = SendAndWait(Request(searcher));
  EXPECT_EQ(NameOf(reply.outcome), "connect_failed");
  EXPECT_EQ(reply.execution, Execution::kNotRun);
  std::int64_t failures = transport->upstream_stats().connect_failures.value();
  RunUntilIdle();
  EXPECT_EQ(transport->upstream_stats().connect_failures.value(), failures);
  Advance(seconds(10), milliseconds(50));
  // The backoff grows to two seconds; a delay is at least half of the backoff.
  EXPECT_LE(transport->upstream_stats().connect_failures.value(),
            failures + 16);
  EXPECT_GT(transport->upstream_stats().connect_failures.value(), failures);
}

// Guards against a connect loop when a searcher accepts connections and closes
// them at once.
TEST_F(SearcherPoolTest, BacksOffWhenSearcherClosesNewConnections) {
  RawSearcher& searcher = AddSearcher(RepliesToAll());
  for (int n = 0; n < 20; ++n) {
    if (!searcher.sessions.back()->ended())
      searcher.sessions.back()->Close();
    RunUntilIdle();
  }
  EXPECT_EQ(searcher.sessions.size(), 1U);
  Advance(seconds(1));
  EXPECT_EQ(searcher.sessions.size(), 2U);
}

// Guards against an attempt that waits for a connect that never completes.
TEST_F(SearcherPoolTest, ConnectTimeoutFailsWaitingAttempt) {
  // A listener with a full backlog leaves further connects unanswered.
  boost::asio::ip::tcp::acceptor stuck(context);
  boost::asio::ip::tcp::endpoint any(boost::asio::ip::make_address("127.0.0.1"),
                                     0);
  stuck.open(any.protocol());
  stuck.bind(any);
  stuck.listen(0);
  std::vector<boost::asio::ip::tcp::socket> fillers;
  for (int n = 0; n < 8; ++n) {
    fillers.emplace_back(context);
    fillers.back().async_connect(stuck.local_endpoint(),
                                 [](const boost::system::error_code&) {});
  }
  RunUntilIdle();
  SearcherId id("127.0.0.1:" + std::to_string(stuck.local_endpoint().port()));
  transport->SetConnectionShare(id, 1);
  UpstreamRequest request;
  request.attempt = AttemptId(1);
  request.searcher = id;
  request.deadline = timer.Now() + seconds(5);
  transport->Send(request);
  Advance(milliseconds(990), milliseconds(10));
  EXPECT_TRUE(replies.empty());
  Advance(milliseconds(20));
  ASSERT_EQ(replies.size(), 1U);
  EXPECT_EQ(NameOf(replies[0].outcome), "connect_failed");
  EXPECT_EQ(replies[0].execution, Execution::kNotRun);
}

// Guards against taking unsolicited bytes on an idle connection for the reply
// to the next attempt.
TEST_F(SearcherPoolTest, UnsolicitedBytesCloseConnection) {
  RawSearcher& searcher = AddSearcher(RepliesToAll());
  ASSERT_EQ(NameOf(SendAndWait(Request(searcher)).outcome), "ok");
  searcher.sessions[0]->Write(GoodReply(searcher.requests[0]));
  RunUntilIdle();
  EXPECT_EQ(transport->upstream_stats().unsolicited.value(), 1);
  EXPECT_TRUE(searcher.sessions[0]->ended());
  Advance(seconds(1));
  EXPECT_EQ(NameOf(SendAndWait(Request(searcher)).outcome), "ok");
}

// Guards against taking a duplicate reply for the reply to the next attempt on
// the connection.
TEST_F(SearcherPoolTest, DuplicateReplyEndsNextAttemptAsBadReply) {
  RawSearcher& searcher = AddSearcher(
      [&](RawSearcher::Session& session, const RawRequest& request) {
        session.Write(GoodReply(searchers[0]->requests.size() == 2
                                    ? searchers[0]->requests[0]
                                    : request));
      });
  ASSERT_EQ(NameOf(SendAndWait(Request(searcher)).outcome), "ok");
  UpstreamReply second = SendAndWait(Request(searcher));
  EXPECT_EQ(NameOf(second.outcome), "bad_reply");
  EXPECT_EQ(second.execution, Execution::kUnknown);
  EXPECT_TRUE(second.body.empty());
}

// Guards against writing a non-idempotent request to a connection that went
// silent while it was idle.
TEST_F(SearcherPoolTest, PingsIdleConnectionBeforeNonIdempotentRequest) {
  RawSearcher& searcher = AddSearcher(RepliesToAll());
  ASSERT_EQ(NameOf(SendAndWait(Request(searcher)).outcome), "ok");
  Advance(milliseconds(1'010));
  UpstreamRequest request = Request(searcher);
  request.idempotent = false;
  EXPECT_EQ(NameOf(SendAndWait(request).outcome), "ok");
  ASSERT_EQ(searcher.requests.size(), 3U);
  EXPECT_EQ(searcher.requests[1].start_line, "GET /v1/ping HTTP/1.1");
  EXPECT_EQ(searcher.requests[2].start_line, "POST /v1/execute HTTP/1.1");
}

// Guards against losing a non-idempotent request, or writing it twice, when the
// ping before it is not answered.
TEST_F(SearcherPoolTest, UnansweredPingMovesRequestToNewConnection) {
  RawSearcher& searcher =
      AddSearcher([](RawSearcher::Session& session, const RawRequest& request) {
        if (session.number() > 0)
          session.Write(GoodReply(request));
      });
  Advance(milliseconds(1'010));
  UpstreamRequest request = Request(searcher);
  request.idempotent = false;
  transport->Send(request);
  Advance(milliseconds(60));
  ASSERT_EQ(replies.size(), 1U);
  EXPECT_EQ(NameOf(replies[0].outcome), "ok");
  ASSERT_EQ(searcher.requests.size(), 2U);
  EXPECT_EQ(searcher.requests[0].start_line, "GET /v1/ping HTTP/1.1");
  EXPECT_EQ(searcher.sessions.size(), 2U);
  EXPECT_TRUE(searcher.sessions[0]->ended());
}

// Guards against writing a non-idempotent request after its deadline because
// the ping before it took long.
TEST_F(SearcherPoolTest, RequestThatExpiresDuringPingIsNotRun) {
  RawSearcher& searcher = AddSearcher(NeverReplies());
  Advance(milliseconds(1'010));
  UpstreamRequest request = Request(searcher);
  request.idempotent = false;
  request.deadline = timer.Now() + milliseconds(10);
  transport->Send(request);
  Advance(milliseconds(14));
  ASSERT_EQ(replies.size(), 1U);
  EXPECT_EQ(NameOf(replies[0].outcome), "no_connection");
  EXPECT_EQ(replies[0].execution, Execution::kNotRun);
  searcher.sessions[0]->Write(PlainReply());
  RunUntilIdle();
  ASSERT_EQ(searcher.requests.size(), 1U);
  EXPECT_EQ(searcher.requests[0].start_line, "GET /v1/ping HTTP/1.1");
}

// Guards against delivering the late reply of a cancelled attempt to another
// attempt, and against reusing the connection before that reply.
TEST_F(SearcherPoolTest, CancelledAttemptOccupiesConnectionUntilReply) {
  RawSearcher& searcher = AddSearcher(
      [](RawSearcher::Session& session, const RawRequest& request) {
        if (request.start_line.find("cancel") != std::string::npos)
          session.Write(PlainReply());
      },
      2);
  UpstreamRequest first = Request(searcher);
  transport->Send(first);
  RunUntilIdle();
  transport->Cancel(first.attempt);
  EXPECT_TRUE(replies.empty());
  RunUntilIdle();
  ASSERT_EQ(replies.size(), 1U);
  EXPECT_EQ(NameOf(replies[0].outcome), "cancelled");
  EXPECT_EQ(replies[0].execution, Execution::kUnknown);
  ASSERT_EQ(searcher.requests.size(), 2U);
  EXPECT_EQ(searcher.requests[1].start_line, "POST /v1/cancel HTTP/1.1");
  EXPECT_EQ(searcher.requests[1].Header("Jujubecove-Attempt"), "abc-5-1");

  // One connection is idle again; the other one waits for the late reply.
  transport->Send(Request(searcher));
  transport->Send(Request(searcher));
  RunUntilIdle();
  EXPECT_EQ(searcher.requests.size(), 3U);
  for (const auto& session : searcher.sessions)
    session->Write(GoodReply(searcher.requests[0]));
  RunUntilIdle();
  // Attempt 2 received the reply to attempt 1.
  ASSERT_EQ(replies.size(), 2U);
  EXPECT_EQ(replies[1].attempt, AttemptId(2));
  EXPECT_EQ(NameOf(replies[1].outcome), "bad_reply");
  EXPECT_EQ(searcher.requests.size(), 4U);
  EXPECT_EQ(searcher.requests[3].Header("Jujubecove-Attempt"), "abc-5-3");
}

// Guards against a cancelled attempt that occupies its connection forever.
TEST_F(SearcherPoolTest, ClosesConnectionWhenCancelledAttemptGetsNoReply) {
  RawSearcher& searcher = AddSearcher(NeverReplies());
  UpstreamRequest first = Request(searcher);
  transport->Send(first);
  RunUntilIdle();
  transport->Cancel(first.attempt);
  Advance(milliseconds(1'100));
  EXPECT_TRUE(searcher.sessions[0]->ended());
  EXPECT_EQ(searcher.sessions.size(), 2U);
  EXPECT_EQ(replies.size(), 1U);
}

// Guards against sending a waiting attempt that was cancelled.
TEST_F(SearcherPoolTest, CancelledWaitingAttemptIsNotRun) {
  RawSearcher& searcher = AddSearcher(NeverReplies());
  transport->Send(Request(searcher));
  UpstreamRequest waiting = Request(searcher);
  transport->Send(waiting);
  transport->Cancel(waiting.attempt);
  RunUntilIdle();
  ASSERT_EQ(replies.size(), 1U);
  EXPECT_EQ(replies[0].attempt, waiting.attempt);
  EXPECT_EQ(NameOf(replies[0].outcome), "cancelled");
  EXPECT_EQ(replies[0].execution, Execution::kNotRun);
  searcher.sessions[0]->Write(GoodReply(searcher.requests[0]));
  RunUntilIdle();
  EXPECT_EQ(searcher.requests.size(), 1U);
}

// Guards against losing an attempt whose searcher has no connection share.
TEST_F(SearcherPoolTest, UnknownSearcherEndsAttemptAsNoConnection) {
  UpstreamRequest request;
  request.attempt = AttemptId(1);
  request.searcher = SearcherId("not an address");
  transport->SetConnectionShare(request.searcher, 2);
  UpstreamReply reply = SendAndWait(request);
  EXPECT_EQ(NameOf(reply.outcome), "no_connection");
  EXPECT_EQ(reply.execution, Execution::kNotRun);
}

}  // namespace
}  // namespace jujubecove
