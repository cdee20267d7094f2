#include <gtest/gtest.h>

#include <string>

#include "transport_fixture.h"

namespace jujubecove {
namespace {

// How a searcher responds to the first attempt, and the expected result.
struct ReplyCase {
  std::string name;
  std::function<void(RawSearcher::Session&, const RawRequest&)> respond;
  AttemptOutcome outcome;
  Execution execution;
  // Whether the second attempt uses the same connection.
  bool connection_reusable;
};

std::string Replace(std::string text,
                    const std::string& from,
                    const std::string& to) {
  text.replace(text.find(from), from.size(), to);
  return text;
}

ReplyCase RepliesWith(const std::string& name,
                      std::function<std::string(const RawRequest&)> bytes,
                      AttemptOutcome outcome,
                      Execution execution,
                      bool connection_reusable) {
  return {name,
          [bytes](RawSearcher::Session& session, const RawRequest& request) {
            session.Write(bytes(request));
          },
          outcome, execution, connection_reusable};
}

ReplyCase BadReply(const std::string& name,
                   std::function<std::string(const RawRequest&)> bytes) {
  return RepliesWith(name, std::move(bytes), AttemptOutcome::kBadReply,
                     Execution::kUnknown, false);
}

ReplyCase Refusal(const std::string& reason, AttemptOutcome outcome) {
  return RepliesWith(
      "refuses_" + reason,
      [reason](const RawRequest& r) {
        return StatusReply(r, "503 Unavailable",
                           "Jujubecove-Not-Run: " + reason + "\r\n");
      },
      outcome, Execution::kNotRun, true);
}

ReplyCase TruncatedThenClosed() {
  return {"truncated",
          [](RawSearcher::Session& session, const RawRequest& request) {
            std::string reply = GoodReply(request);
            session.Write(reply.substr(0, reply.size() - 1));
            session.Close();
          },
          AttemptOutcome::kBadReply, Execution::kUnknown, false};
}

ReplyCase ClosesAfterReading() {
  return {
      "closes_after_reading",
      [](RawSearcher::Session& session, const RawRequest&) { session.Close(); },
      AttemptOutcome::kConnectionLost, Execution::kUnknown, false};
}

class ReplyOutcomeTest : public TransportFixture,
                         public testing::WithParamInterface<ReplyCase> {};

// Guards against matching a reply to the wrong attempt, and against reporting
// an attempt as run or not run without proof.
TEST_P(ReplyOutcomeTest, EndsAttemptAndReusesConnectionOnlyWhenSafe) {
  int attempts = 0;
  RawSearcher& searcher = AddSearcher(
      [&](RawSearcher::Session& session, const RawRequest& request) {
        if (++attempts == 1)
          GetParam().respond(session, request);
        else
          session.Write(GoodReply(request, "[2]"));
      });
  UpstreamReply first = SendAndWait(Request(searcher));
  EXPECT_EQ(NameOf(first.outcome), NameOf(GetParam().outcome));
  EXPECT_EQ(first.execution, GetParam().execution);
  EXPECT_EQ(first.attempt, AttemptId(1));

  Advance(std::chrono::seconds(1));
  UpstreamReply second = SendAndWait(Request(searcher));
  EXPECT_EQ(second.attempt, AttemptId(2));
  EXPECT_EQ(NameOf(second.outcome), "ok");
  EXPECT_EQ(second.body, "[2]");
  EXPECT_EQ(searcher.sessions.size(), GetParam().connection_reusable ? 1U : 2U);
  EXPECT_EQ(replies.size(), 2U);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    ReplyOutcomeTest,
    testing::Values(
        RepliesWith(
            "good",
            [](const RawRequest& r) { return GoodReply(r); },
            AttemptOutcome::kOk,
            Execution::kRan,
            true),
        RepliesWith(
            "good_then_closes",
            [](const RawRequest& r) {
              return GoodReply(r, "[1]", "Connection: close\r\n");
            },
            AttemptOutcome::kOk,
            Execution::kRan,
            false),
        Refusal("busy", AttemptOutcome::kRefusedBusy),
        Refusal("draining", AttemptOutcome::kRefusedDraining),
        Refusal("version", AttemptOutcome::kRefusedVersion),
        Refusal("map", AttemptOutcome::kRefusedMap),
        Refusal("cold", AttemptOutcome::kRefusedCold),
        Refusal("deadline", AttemptOutcome::kRefusedDeadline),
        RepliesWith(
            "fails",
            [](const RawRequest& r) { return StatusReply(r, "500 Error"); },
            AttemptOutcome::kFailed,
            Execution::kUnknown,
            true),
        RepliesWith(
            "unavailable_without_a_reason",
            [](const RawRequest& r) {
              return StatusReply(r, "503 Unavailable");
            },
            AttemptOutcome::kFailed,
            Execution::kUnknown,
            true),
        BadReply("refuses_for_an_unknown_reason",
                 [](const RawRequest& r) {
                   return StatusReply(r, "503 Unavailable",
                                      "Jujubecove-Not-Run: tired\r\n");
                 }),
        BadReply("not_run_on_a_500",
                 [](const RawRequest& r) {
                   return StatusReply(r, "500 Error",
                                      "Jujubecove-Not-Run: busy\r\n");
                 }),
        BadReply("wrong_attempt",
                 [](const RawRequest& r) {
                   return Replace(GoodReply(r), "abc-5-1", "abc-5-9");
                 }),
        BadReply("wrong_incarnation",
                 [](const RawRequest& r) {
                   return Replace(GoodReply(r), "abc-5-1", "abd-5-1");
                 }),
        BadReply("refusal_of_another_attempt",
                 [](const RawRequest& r) {
                   return Replace(StatusReply(r, "503 Unavailable",
                                              "Jujubecove-Not-Run: busy\r\n"),
                                  "abc-5-1", "abc-5-2");
                 }),
        BadReply("no_attempt",
                 [](const RawRequest&) { return PlainReply("[1]"); }),
        BadReply("attempt_twice",
                 [](const RawRequest& r) {
                   return GoodReply(r, "[1]",
                                    "Jujubecove-Attempt: abc-5-1\r\n");
                 }),
        BadReply("no_index_version",
                 [](const RawRequest& r) {
                   return Replace(GoodReply(r), "Index-Version", "Other");
                 }),
        BadReply("malformed_map_version",
                 [](const RawRequest& r) {
                   return Replace(GoodReply(r), "Shard-Map: 7",
                                  "Shard-Map: 7x");
                 }),
        BadReply("duplicate",
                 [](const RawRequest& r) {
                   return GoodReply(r) + GoodReply(r);
                 }),
        BadReply("garbage",
                 [](const RawRequest&) {
                   return "\x16\x03\x01 hello\r\n\r\n";
                 }),
        BadReply("interim_reply",
                 [](const RawRequest& r) {
                   return "HTTP/1.1 100 Continue\r\n\r\n" + GoodReply(r);
                 }),
        BadReply("content_length_too_small",
                 [](const RawRequest& r) {
                   return Replace(GoodReply(r), "Length: 3", "Length: 2");
                 }),
        BadReply("two_content_lengths",
                 [](const RawRequest& r) {
                   return GoodReply(r, "[1]", "Content-Length: 2\r\n");
                 }),
        BadReply("no_length",
                 [](const RawRequest& r) {
                   return Replace(GoodReply(r), "Content-Length", "X-Length");
                 }),
        BadReply("oversized_body",
                 [](const RawRequest& r) {
                   return Replace(GoodReply(r), "Length: 3", "Length: 4194305");
                 }),
        BadReply("oversized_header",
                 [](const RawRequest& r) {
                   return GoodReply(r, "[1]",
                                    "X: " + std::string(17'000, 'x') + "\r\n");
                 }),
        BadReply("many_headers",
                 [](const RawRequest& r) {
                   std::string headers;
                   for (int n = 0; n < 2'000; ++n)
                     headers += "X-Filler: 1234567890\r\n";
                   return GoodReply(r, "[1]", headers);
                 }),
        TruncatedThenClosed(),
        ClosesAfterReading()),
    [](const testing::TestParamInfo<ReplyCase>& info) {
      return info.param.name;
    });

}  // namespace
}  // namespace jujubecove
