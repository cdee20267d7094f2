#include <gtest/gtest.h>

#include <vector>

#include "tests/unit/egress/searcher_transport_fixture.h"

namespace jujubecove {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class SearcherTransportTest : public SearcherTransportFixture {};

TEST_F(SearcherTransportTest, SendsRequestUnchangedAndReusesConnection) {
  std::vector<std::string> heads;
  Serve([&heads](const std::string& head) {
    heads.push_back(head);
    return ScriptedServer::Reaction{kGoodReply};
  });
  Send(1);
  ASSERT_TRUE(Await(1));
  Send(2);
  ASSERT_TRUE(Await(2));
  EXPECT_EQ(Reply(2).outcome, AttemptResult::kSuccess);
  EXPECT_EQ(Reply(2).body, "body");
  EXPECT_EQ(Reply(2).proof, "proof");
  EXPECT_EQ(server_->accepted(), 1);
  EXPECT_TRUE(heads[0].starts_with("GET /path?query HTTP/1.1\r\n"));
  EXPECT_NE(heads[0].find("Expect-Instance: i-1\r\n"), std::string::npos);
  EXPECT_NE(heads[0].find("Request-Id: r1\r\n"), std::string::npos);
  EXPECT_NE(heads[0].find("Deadline-Ms: 49"), std::string::npos);
}

struct ReplyCase {
  const char* name;
  std::string bytes;
  bool close;
  bool reset;
  AttemptResult outcome;
  // Whether the connection can carry another request.
  bool reusable;
};

class SearcherReplyTest : public SearcherTransportTest,
                          public testing::WithParamInterface<ReplyCase> {};

// Replies of faulty searchers must not be accepted, and bytes left over from
// one reply must not be read as the start of the next.
TEST_P(SearcherReplyTest, MapsReplyToOutcome) {
  const ReplyCase& param = GetParam();
  Serve([&param](const std::string&) {
    return ScriptedServer::Reaction{param.bytes, param.close, param.reset};
  });
  Send(1);
  ASSERT_TRUE(Await(1));
  EXPECT_EQ(Reply(1).outcome, param.outcome) << Reply(1).failure;
  Send(2);
  ASSERT_TRUE(Await(2));
  EXPECT_EQ(server_->accepted(), param.reusable ? 1 : 2);
}

INSTANTIATE_TEST_SUITE_P(
    Replies,
    SearcherReplyTest,
    testing::Values(
        ReplyCase{"Proper", kGoodReply, false, false, AttemptResult::kSuccess,
                  true},
        ReplyCase{"Truncated",
                  "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n"
                  "Response-Stamp: p\r\n"
                  "Content-Length: 9\r\n\r\nbody",
                  true, false, AttemptResult::kBroken, false},
        ReplyCase{"Garbage", "nonsense\r\n\r\n", false, false,
                  AttemptResult::kBroken, false},
        ReplyCase{"ExtraBytes", std::string(kGoodReply) + "extra", false, false,
                  AttemptResult::kSuccess, false},
        ReplyCase{"EndsWithTheConnection",
                  "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n"
                  "Response-Stamp: p\r\n\r\nbody",
                  true, false, AttemptResult::kSuccess, false},
        ReplyCase{"ResetWithoutLength",
                  "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n"
                  "Response-Stamp: p\r\n\r\nbody",
                  false, true, AttemptResult::kBroken, false},
        // Without an id, a later copy of the reply could not be told from the
        // reply to the next request.
        ReplyCase{"NoId",
                  "HTTP/1.1 200 OK\r\nResponse-Stamp: p\r\n"
                  "Content-Length: 0\r\n\r\n",
                  false, false, AttemptResult::kSuccess, false},
        ReplyCase{"RefusedWithoutId",
                  "HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\n"
                  "Content-Length: 0\r\n\r\n",
                  false, false, AttemptResult::kRejected, false},
        ReplyCase{"NoProof",
                  "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n"
                  "Content-Length: 0\r\n\r\n",
                  false, false, AttemptResult::kBroken, true},
        ReplyCase{"Encoded",
                  "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n"
                  "Response-Stamp: p\r\n"
                  "Content-Encoding: gzip\r\nContent-Length: 0\r\n\r\n",
                  false, false, AttemptResult::kBroken, true},
        ReplyCase{"Refused",
                  "HTTP/1.1 503 Busy\r\nRequest-Id: r1\r\n"
                  "Not-Executed: 1\r\n"
                  "Content-Length: 0\r\n\r\n",
                  false, false, AttemptResult::kRejected, true},
        ReplyCase{"AnotherInstance",
                  "HTTP/1.1 421 No\r\nRequest-Id: r1\r\n"
                  "Instance-Id: i-2\r\n"
                  "Content-Length: 0\r\n\r\n",
                  false, false, AttemptResult::kWrongInstance, true},
        ReplyCase{"Failure",
                  "HTTP/1.1 500 No\r\nRequest-Id: r1\r\n"
                  "Response-Stamp: p\r\n"
                  "Content-Length: 0\r\n\r\n",
                  false, false, AttemptResult::kFailure, true},
        ReplyCase{"UnavailableAfterRunning",
                  "HTTP/1.1 503 No\r\nRequest-Id: r1\r\n"
                  "Response-Stamp: p\r\n"
                  "Content-Length: 0\r\n\r\n",
                  false, false, AttemptResult::kFailure, true},
        ReplyCase{"ClosingConnection",
                  "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n"
                  "Response-Stamp: p\r\n"
                  "Connection: close\r\nContent-Length: 0\r\n\r\n",
                  false, false, AttemptResult::kSuccess, false},
        ReplyCase{"Chunked",
                  "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n"
                  "Response-Stamp: p\r\n"
                  "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
                  false, false, AttemptResult::kSuccess, true}),
    [](const auto& info) { return info.param.name; });

// A late second reply must not be taken for the reply to the next request.
TEST_F(SearcherTransportTest, SkipsReplyToAnotherRequest) {
  int requests = 0;
  Serve([&requests](const std::string&) {
    std::string bytes = kGoodReply;
    if (++requests == 2) {
      bytes =
          "HTTP/1.1 200 OK\r\nRequest-Id: old\r\nResponse-Stamp: old\r\n"
          "Content-Length: 3\r\n\r\nold" +
          bytes;
    }
    return ScriptedServer::Reaction{bytes};
  });
  Send(1);
  ASSERT_TRUE(Await(1));
  Send(2);
  ASSERT_TRUE(Await(2));
  EXPECT_EQ(Reply(2).proof, "proof");
  Send(3);
  ASSERT_TRUE(Await(3));
  EXPECT_EQ(server_->accepted(), 2);
}

TEST_F(SearcherTransportTest, ClosesIdleConnectionOnUnsolicitedBytes) {
  Serve(
      [](const std::string&) { return ScriptedServer::Reaction{kGoodReply}; });
  Send(1);
  ASSERT_TRUE(Await(1));
  server_->WriteToAll(kGoodReply);
  RunFor(milliseconds(50));
  Send(2);
  ASSERT_TRUE(Await(2));
  EXPECT_EQ(server_->accepted(), 2);
}

// If the searcher has dropped an idle connection, a request sent on it has an
// unknown outcome.
TEST_F(SearcherTransportTest,
       OpensNewConnectionForNonIdempotentRequestAfterIdle) {
  Serve(
      [](const std::string&) { return ScriptedServer::Reaction{kGoodReply}; });
  Send(1);
  ASSERT_TRUE(Await(1));
  RunFor(milliseconds(600));
  Send(2);
  ASSERT_TRUE(Await(2));
  EXPECT_EQ(server_->accepted(), 1);
  RunFor(milliseconds(600));
  Send(3, "r3", seconds(5), false);
  ASSERT_TRUE(Await(3));
  EXPECT_EQ(server_->accepted(), 2);
  Send(4, "r4", seconds(5), false);
  ASSERT_TRUE(Await(4));
  EXPECT_EQ(server_->accepted(), 2);
}

TEST_F(SearcherTransportTest, ReportsNotSentWhenConnectionIsRefused) {
  Serve(
      [](const std::string&) { return ScriptedServer::Reaction{kGoodReply}; });
  server_.reset();
  Send(1);
  ASSERT_TRUE(Await(1));
  EXPECT_EQ(Reply(1).outcome, AttemptResult::kNotSent);
}

// Expired attempts must not reach a busy searcher.
TEST_F(SearcherTransportTest, ReportsNotSentWhenWaitingAttemptExpires) {
  Serve([](const std::string&) { return ScriptedServer::Reaction{}; });
  Send(1);
  Send(2);
  RunFor(milliseconds(30));
  Send(3, "r3", milliseconds(60));
  ASSERT_TRUE(Await(3));
  EXPECT_EQ(Reply(3).outcome, AttemptResult::kNotSent);
  EXPECT_FALSE(replies_.contains(1));
  EXPECT_EQ(server_->accepted(), 2);
}

// A searcher must not keep working on a cancelled attempt, and the closed
// connection must no longer count towards the limit.
TEST_F(SearcherTransportTest, CancelClosesConnection) {
  bool silent = true;
  Serve([&silent](const std::string&) {
    return ScriptedServer::Reaction{silent ? "" : kGoodReply};
  });
  Send(1);
  RunFor(milliseconds(50));
  EXPECT_TRUE(transport_.IsWritten(AttemptId(1)));
  EXPECT_TRUE(transport_.Cancel(AttemptId(1)));
  silent = false;
  Send(2);
  ASSERT_TRUE(Await(2));
  EXPECT_EQ(server_->accepted(), 2);
}

// Attempts that wait for a connection must not reach a searcher that accepts no
// new requests.
TEST_F(SearcherTransportTest, RetireReturnsQueuedAttempts) {
  Serve([](const std::string&) { return ScriptedServer::Reaction{}; });
  Send(1);
  Send(2);
  RunFor(milliseconds(50));
  Send(3);
  transport_.Retire(searcher_.id);
  RunFor(milliseconds(50));
  ASSERT_TRUE(replies_.contains(3));
  EXPECT_EQ(Reply(3).outcome, AttemptResult::kNotSent);
  EXPECT_TRUE(transport_.IsWritten(AttemptId(1)));
  EXPECT_TRUE(transport_.IsWritten(AttemptId(2)));
}

// A retired searcher gets no new requests, but its running attempt must not be
// aborted.
TEST_F(SearcherTransportTest, RetiredSearcherFinishesRunningAttempt) {
  bool silent = true;
  Serve([&silent](const std::string&) {
    return ScriptedServer::Reaction{silent ? "" : kGoodReply};
  });
  Send(1);
  RunFor(milliseconds(50));
  transport_.Retire(searcher_.id);
  server_->WriteToAll(kGoodReply);
  ASSERT_TRUE(Await(1));
  EXPECT_EQ(Reply(1).outcome, AttemptResult::kSuccess);
}

}  // namespace
}  // namespace jujubecove
