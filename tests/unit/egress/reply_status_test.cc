#include <array>
#include <cstdio>

#include "tests/unit/egress/searcher_transport_fixture.h"

namespace jujubecove {
namespace {

using Reaction = ScriptedServer::Reaction;

constexpr int kStatuses = 1000;

struct Framing {
  const char* name;
  const char* fields;
  const char* body;
  bool close = false;
};

std::string ThreeDigits(int status) {
  std::array<char, 4> text{};
  std::snprintf(text.data(), text.size(), "%03d", status);
  return text.data();
}

// Interim replies have neither a length nor chunks, and none of these is
// followed by a final reply.
AttemptResult Expected(int status) {
  if (status < 200 || status > 599)
    return AttemptResult::kBroken;
  if (status == 421)
    return AttemptResult::kWrongInstance;
  return status < 300 ? AttemptResult::kSuccess : AttemptResult::kFailure;
}

class ReplyStatusTest : public SearcherTransportFixture,
                        public testing::WithParamInterface<Framing> {};

// Guards against a status that is none, which is taken for an answer or for an
// interim reply and waited out.
TEST_P(ReplyStatusTest, OnlyFinalStatusesAreReplies) {
  const Framing& framing = GetParam();
  Serve([&framing](const std::string& head) {
    return Reaction{.bytes = "HTTP/1.1 " + ValueOf(head, "Accept") +
                             " x\r\nRequest-Id: r1\r\nResponse-Stamp: p\r\n" +
                             framing.fields + "\r\n" + framing.body,
                    .close = framing.close};
  });
  for (int status = 0; status < kStatuses; ++status) {
    std::uint64_t attempt = static_cast<std::uint64_t>(status) + 1;
    Send(attempt, "", std::chrono::seconds(5), true, ThreeDigits(status));
    ASSERT_TRUE(Await(attempt)) << status;
    EXPECT_EQ(Reply(attempt).outcome, Expected(status)) << status;
  }
}

INSTANTIATE_TEST_SUITE_P(
    Framings,
    ReplyStatusTest,
    testing::Values(Framing{"Length", "Content-Length: 4\r\n", "body"},
                    Framing{"Empty", "Content-Length: 0\r\n", ""},
                    Framing{"Chunked", "Transfer-Encoding: chunked\r\n",
                            "4\r\nbody\r\n0\r\n\r\n"},
                    Framing{"UntilClose", "", "body", true}),
    [](const auto& info) { return info.param.name; });

using InterimReplyTest = SearcherTransportFixture;

// Guards against a reply that is lost because an interim one came first.
TEST_F(InterimReplyTest, SkipsWellFormedOnes) {
  Serve([](const std::string& head) {
    return Reaction{"HTTP/1.1 " + ValueOf(head, "Accept") + " x\r\n\r\n" +
                    kGoodReply};
  });
  std::uint64_t attempt = 0;
  for (int status : {100, 102, 103, 199}) {
    Send(++attempt, "", std::chrono::seconds(5), true, ThreeDigits(status));
    ASSERT_TRUE(Await(attempt)) << status;
    EXPECT_EQ(Reply(attempt).outcome, AttemptResult::kSuccess) << status;
  }
}

}  // namespace
}  // namespace jujubecove
