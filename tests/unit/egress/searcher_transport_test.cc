#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <map>
#include <optional>
#include <vector>

#include "egress/http_searcher_transport.h"
#include "kernel/asio_timer_service.h"
#include "platform/http_protocol.h"
#include "tests/standin/scripted_server.h"

namespace jujubecove {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kGoodReply[] =
    "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Stamp: proof\r\n"
    "Content-Length: 4\r\n\r\nbody";

class SearcherTransportTest : public testing::Test {
 protected:
  SearcherTransportTest()
      : timers_(context_), transport_(context_, timers_, protocol_) {}

  void Serve(ScriptedServer::Script script) {
    server_.emplace(context_, std::move(script));
    searcher_.id = InstanceId("i-1");
    searcher_.service = ServiceName("service");
    searcher_.address = server_->address();
    transport_.SetConnectionLimit(searcher_, 2);
  }

  void Send(std::uint64_t attempt,
            const std::string& id = "r1",
            Duration write_deadline = seconds(5),
            bool idempotent = true) {
    auto request = std::make_shared<ForwardedRequest>();
    request->id = id;
    request->method = "GET";
    request->target = "/path?query";
    request->host = "host.example";
    request->headers = {{"Request-Id", id}, {"Accept", "x"}};
    TimePoint now = timers_.Now();
    transport_.Send(AttemptId(attempt), searcher_, request,
                    {now + seconds(5), now + write_deadline,
                     now + write_deadline, idempotent},
                    [this, attempt](AttemptReply reply) {
                      replies_.emplace(attempt, std::move(reply));
                    });
  }

  // Runs until the attempt has ended. Returns false if it does not end.
  bool Await(std::uint64_t attempt) {
    TimePoint limit = timers_.Now() + seconds(10);
    while (!replies_.contains(attempt) && timers_.Now() < limit)
      context_.run_one_for(milliseconds(20));
    return replies_.contains(attempt);
  }
  void RunFor(Duration time) {
    TimePoint limit = timers_.Now() + time;
    while (timers_.Now() < limit)
      context_.run_one_for(milliseconds(5));
  }
  const AttemptReply& Reply(std::uint64_t attempt) {
    return replies_.at(attempt);
  }

  boost::asio::io_context context_;
  AsioTimerService timers_;
  platform::PlatformSearcherProtocol protocol_;
  std::optional<ScriptedServer> server_;
  HttpSearcherTransport transport_;
  SearcherEntry searcher_;
  std::map<std::uint64_t, AttemptReply> replies_;
};

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
                  "HTTP/1.1 200 OK\r\nResponse-Stamp: p\r\n"
                  "Content-Length: 9\r\n\r\nbody",
                  true, false, AttemptResult::kBroken, false},
        ReplyCase{"Garbage", "nonsense\r\n\r\n", false, false,
                  AttemptResult::kBroken, false},
        ReplyCase{"ExtraBytes", std::string(kGoodReply) + "extra", false, false,
                  AttemptResult::kSuccess, false},
        ReplyCase{"EndsWithTheConnection",
                  "HTTP/1.1 200 OK\r\nResponse-Stamp: p\r\n\r\nbody", true,
                  false, AttemptResult::kSuccess, false},
        ReplyCase{"ResetWithoutLength",
                  "HTTP/1.1 200 OK\r\nResponse-Stamp: p\r\n\r\nbody", false,
                  true, AttemptResult::kBroken, false},
        ReplyCase{"NoProof", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
                  false, false, AttemptResult::kBroken, true},
        ReplyCase{"Encoded",
                  "HTTP/1.1 200 OK\r\nResponse-Stamp: p\r\n"
                  "Content-Encoding: gzip\r\nContent-Length: 0\r\n\r\n",
                  false, false, AttemptResult::kBroken, true},
        ReplyCase{"Refused",
                  "HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\n"
                  "Content-Length: 0\r\n\r\n",
                  false, false, AttemptResult::kRejected, true},
        ReplyCase{"AnotherInstance",
                  "HTTP/1.1 421 No\r\nInstance-Id: i-2\r\n"
                  "Content-Length: 0\r\n\r\n",
                  false, false, AttemptResult::kWrongInstance, true},
        ReplyCase{"Failure",
                  "HTTP/1.1 500 No\r\nResponse-Stamp: p\r\n"
                  "Content-Length: 0\r\n\r\n",
                  false, false, AttemptResult::kFailure, true},
        ReplyCase{"UnavailableAfterRunning",
                  "HTTP/1.1 503 No\r\nResponse-Stamp: p\r\n"
                  "Content-Length: 0\r\n\r\n",
                  false, false, AttemptResult::kFailure, true},
        ReplyCase{"ClosingConnection",
                  "HTTP/1.1 200 OK\r\nResponse-Stamp: p\r\n"
                  "Connection: close\r\nContent-Length: 0\r\n\r\n",
                  false, false, AttemptResult::kSuccess, false},
        ReplyCase{"Chunked",
                  "HTTP/1.1 200 OK\r\nResponse-Stamp: p\r\n"
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
  Send(3, "r1", seconds(5), false);
  ASSERT_TRUE(Await(3));
  EXPECT_EQ(server_->accepted(), 2);
  Send(4, "r1", seconds(5), false);
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
  Send(3, "r1", milliseconds(60));
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
