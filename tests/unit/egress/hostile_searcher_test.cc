#include <algorithm>
#include <vector>

#include "tests/unit/egress/searcher_transport_fixture.h"

namespace jujubecove {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Reaction = ScriptedServer::Reaction;

// A reply whose proof names the request, with other id fields than usual.
std::string ReplyTo(const std::string& id, const std::string& id_fields) {
  return "HTTP/1.1 200 OK\r\n" + id_fields + "Response-Stamp: proof-" + id +
         "\r\nContent-Length: 4\r\n\r\nbody";
}

struct CopyCase {
  const char* name;
  // Id fields of the first reply and of its copy; "$" stands for the id.
  std::string id_fields;
  std::string copy_id_fields;
  // Whether all requests have the same id.
  bool same_id = false;
};

class LateCopyTest : public SearcherTransportFixture,
                     public testing::WithParamInterface<CopyCase> {
 protected:
  static std::string Expand(std::string fields, const std::string& id) {
    for (std::size_t at = fields.find('$'); at != std::string::npos;
         at = fields.find('$'))
      fields.replace(at, 1, id);
    return fields;
  }
};

// A searcher that sends each reply a second time, when its connection carries
// the next request, must not make that request get a reply that isn't its own.
TEST_P(LateCopyTest, CopyIsNotTakenForNextReply) {
  const CopyCase& param = GetParam();
  Serve([&](const std::string& head) {
    std::string id = ValueOf(head, "Request-Id");
    // Tells the requests apart also if they share their id.
    std::string own = ValueOf(head, "Accept");
    return Reaction{
        .pieces = {
            {milliseconds(10), ReplyTo(own, Expand(param.id_fields, id))},
            {milliseconds(4), ReplyTo(own, Expand(param.copy_id_fields, id))}}};
  });
  constexpr std::uint64_t kRequests = 40;
  for (std::uint64_t n = 1; n <= kRequests; ++n) {
    std::string own = "r" + std::to_string(n);
    Send(n, param.same_id ? "r" : own, seconds(5), true, own);
    ASSERT_TRUE(Await(n));
    EXPECT_EQ(Reply(n).outcome, AttemptResult::kSuccess);
    EXPECT_EQ(Reply(n).proof, "proof-" + own);
  }
}

INSTANTIATE_TEST_SUITE_P(
    Copies,
    LateCopyTest,
    testing::Values(CopyCase{"IdAbsent", "", ""},
                    CopyCase{"IdAbsentInCopy", "Request-Id: $\r\n", ""},
                    CopyCase{"IdEmpty", "Request-Id: \r\n", "Request-Id: \r\n"},
                    CopyCase{"IdRepeated", "Request-Id: $\r\nRequest-Id: $\r\n",
                             "Request-Id: $\r\nRequest-Id: $\r\n"},
                    CopyCase{"IdOfEarlierRequest", "Request-Id: $\r\n",
                             "Request-Id: $\r\n"},
                    CopyCase{"CallerRepeatsId", "Request-Id: $\r\n",
                             "Request-Id: $\r\n", true}),
    [](const auto& info) { return info.param.name; });

class HostileSearcherTest : public SearcherTransportFixture {};

constexpr char kHead[] =
    "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n"
    "Response-Stamp: p\r\n";
constexpr char kChunkedHead[] =
    "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Stamp: p\r\n"
    "Transfer-Encoding: chunked\r\n\r\n";

// A chunked body may arrive in pieces of any size. Beast of Boost 1.81 aborts
// on some of them.
TEST_F(HostileSearcherTest, AcceptsLastChunkInPieces) {
  Serve([](const std::string&) {
    return Reaction{.bytes = kChunkedHead,
                    .pieces = {{milliseconds(5), "0\r\n"},
                               {milliseconds(5), "\r"},
                               {milliseconds(5), "\n"}}};
  });
  Send(1);
  ASSERT_TRUE(Await(1));
  EXPECT_EQ(Reply(1).outcome, AttemptResult::kSuccess);
}

TEST_F(HostileSearcherTest, AcceptsChunkedBodyByteByByte) {
  std::string body = "4\r\nbody\r\n2;x=y\r\n00\r\n0\r\nT: v\r\n\r\n";
  std::vector<ScriptedServer::Piece> pieces;
  for (char c : body)
    pieces.push_back({milliseconds(1), std::string(1, c)});
  Serve([&](const std::string&) {
    return Reaction{.bytes = kChunkedHead, .pieces = pieces};
  });
  Send(1);
  ASSERT_TRUE(Await(1));
  EXPECT_EQ(Reply(1).outcome, AttemptResult::kSuccess);
  EXPECT_EQ(Reply(1).body, "body00");
}

struct EndlessCase {
  const char* name;
  std::string bytes;
  std::string repeated;
};

class EndlessReplyTest : public SearcherTransportFixture,
                         public testing::WithParamInterface<EndlessCase> {
 protected:
  // A reply that never ends must end its attempt after this many bytes.
  static constexpr std::size_t kMaxBytes = std::size_t{16} << 20U;
};

// Bytes without end must neither keep the daemon busy nor fill its memory, and
// the searcher must be judged by them.
TEST_P(EndlessReplyTest, EndsAttemptWithinBounds) {
  const EndlessCase& param = GetParam();
  Serve([&param](const std::string&) {
    return Reaction{.bytes = param.bytes,
                    .repeated = {milliseconds(0), param.repeated}};
  });
  Send(1);
  ASSERT_TRUE(Await(1));
  EXPECT_EQ(Reply(1).outcome, AttemptResult::kBroken);
  EXPECT_FALSE(Reply(1).failure.empty());
  EXPECT_LE(server_->streamed_bytes(), kMaxBytes);
}

INSTANTIATE_TEST_SUITE_P(
    Replies,
    EndlessReplyTest,
    testing::Values(
        EndlessCase{"StatusLine", "HTTP/1.1 200 ", std::string(1000, 'a')},
        EndlessCase{"HeaderField",
                    std::string(kHead) + "X: ", std::string(1000, 'a')},
        EndlessCase{"HeaderFields", kHead, "X: y\r\n"},
        EndlessCase{"BodyWithoutLength", std::string(kHead) + "\r\n",
                    std::string(4000, 'a')},
        EndlessCase{
            "BodyOfGreatLength",
            std::string(kHead) + "Content-Length: 18446744073709551615\r\n\r\n",
            std::string(4000, 'a')},
        EndlessCase{"ChunkSize", kChunkedHead, std::string(1000, '0')},
        EndlessCase{"ChunkExtension", std::string(kChunkedHead) + "4;",
                    std::string(1000, 'a')},
        EndlessCase{"ChunkData", kChunkedHead,
                    "3e8\r\n" + std::string(1000, 'a') + "\r\n"},
        EndlessCase{"SmallChunks", kChunkedHead, "1;a=b\r\na\r\n"},
        EndlessCase{"Trailers", std::string(kChunkedHead) + "0\r\n",
                    "X: y\r\n"},
        EndlessCase{"InterimReplies", "", "HTTP/1.1 100 Continue\r\n\r\n"},
        EndlessCase{"RepliesToOtherRequests", "",
                    "HTTP/1.1 200 OK\r\nRequest-Id: other\r\n"
                    "Response-Stamp: p\r\nContent-Length: 0\r\n\r\n"}),
    [](const auto& info) { return info.param.name; });

// One byte at a time, an endless reply lasts until its attempt is cancelled.
// Other requests must be served meanwhile.
TEST_F(HostileSearcherTest, SlowEndlessRepliesDoNotDelayOthers) {
  Serve([](const std::string& head) {
    if (ValueOf(head, "Accept") == "slow")
      return Reaction{.bytes = std::string(kHead) + "\r\n",
                      .repeated = {milliseconds(1000), "a"}};
    return Reaction{ReplyTo("other", "Request-Id: r1\r\n")};
  });
  constexpr std::uint64_t kSlow = 200;
  transport_.SetConnectionLimit(searcher_, kSlow + 1);
  for (std::uint64_t n = 1; n <= kSlow; ++n)
    Send(n, "", seconds(5), true, "slow");
  RunFor(milliseconds(100));
  Send(kSlow + 1);
  ASSERT_TRUE(Await(kSlow + 1));
  EXPECT_EQ(Reply(kSlow + 1).outcome, AttemptResult::kSuccess);
  for (std::uint64_t n = 1; n <= kSlow; ++n)
    EXPECT_TRUE(transport_.Cancel(AttemptId(n)));
}

// All replies together must stay within the memory for them, and small replies
// must not suffer from large ones.
TEST_F(HostileSearcherTest, LargeRepliesShareMemoryAndSpareSmallOnes) {
  constexpr std::uint64_t kLarge = 50;
  Serve([](const std::string& head) {
    std::string id = ValueOf(head, "Request-Id");
    if (id == "small") {
      return Reaction{
          "HTTP/1.1 200 OK\r\nRequest-Id: small\r\nResponse-Stamp: p\r\n"
          "Content-Length: 4\r\n\r\nbody"};
    }
    return Reaction{.bytes = std::string(kHead) + "\r\n",
                    .repeated = {milliseconds(1), std::string(4000, 'a')}};
  });
  transport_.SetConnectionLimit(searcher_, 100);
  for (std::uint64_t n = 1; n <= kLarge; ++n)
    Send(n);
  std::size_t most = 0;
  for (std::uint64_t n = kLarge + 1; n <= kLarge + 20; ++n) {
    Send(n, "small");
    ASSERT_TRUE(Await(n));
    EXPECT_EQ(Reply(n).outcome, AttemptResult::kSuccess) << Reply(n).failure;
    RunFor(milliseconds(20));
    most = std::max(most, transport_.buffered_reply_bytes());
  }
  EXPECT_LE(most, kMaxReplyMemory);
  EXPECT_GT(most, kMaxReplyMemory / 2);
}

}  // namespace
}  // namespace jujubecove
