#include "tests/unit/egress/searcher_transport_fixture.h"

namespace jujubecove {
namespace {

using Reaction = ScriptedServer::Reaction;

constexpr char kStart[] =
    "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Stamp: proof\r\n";

struct CutCase {
  const char* name;
  // Follows kStart.
  std::string framing;
  std::string body;
  bool reset = false;
  // Whether the end of the connection ends the body.
  bool body_ends_with_connection = false;
};

class CutReplyTest : public SearcherTransportFixture,
                     public testing::WithParamInterface<CutCase> {};

// Guards against a cut reply that is taken for a complete one with an empty or
// short body: a searcher ends its connection after each byte of the reply.
TEST_P(CutReplyTest, IsNeverComplete) {
  const CutCase& param = GetParam();
  std::string head = kStart + param.framing + "\r\n";
  std::string reply = head + param.body;
  std::size_t first_complete =
      param.body_ends_with_connection ? head.size() : reply.size();
  std::size_t size = 0;
  Serve([&](const std::string&) {
    return Reaction{.bytes = reply.substr(0, size),
                    .close = !param.reset,
                    .reset = param.reset};
  });
  for (; size < first_complete; ++size) {
    Send(size + 1, "r1");
    ASSERT_TRUE(Await(size + 1)) << size;
    EXPECT_EQ(Reply(size + 1).outcome, AttemptResult::kBroken) << size;
  }
}

INSTANTIATE_TEST_SUITE_P(
    Framings,
    CutReplyTest,
    testing::Values(CutCase{"Length", "Content-Length: 4\r\n", "body"},
                    CutCase{"LengthReset", "Content-Length: 4\r\n", "body",
                            true},
                    CutCase{"Chunked", "Transfer-Encoding: chunked\r\n",
                            "2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n"},
                    CutCase{"ChunkedReset", "Transfer-Encoding: chunked\r\n",
                            "2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n", true},
                    CutCase{"NoLength", "", "body", false, true},
                    CutCase{"NoLengthReset", "", "body", true}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace jujubecove
