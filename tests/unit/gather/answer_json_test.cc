#include "gather/answer_json.h"

#include <gtest/gtest.h>

#include <string>

#include "tests/unit/gather/gather_fixture.h"

namespace jujubecove {
namespace {

// Guards against changes to the answer format that callers parse.
TEST(AnswerJsonTest, RendersPartialAnswer) {
  QueryAnswer answer;
  answer.execution = Execution::kRan;
  answer.coverage = Coverage(*FourShards(7), GapCause::kTimeout);
  for (std::size_t n : {0U, 1U, 3U})
    answer.coverage.SetCovered(n);
  answer.index_version = IndexVersion(42);
  answer.config_version = ConfigVersion(3);
  answer.trace_id = "00ff";
  answer.results = "[1]";
  RenderedAnswer rendered = RenderAnswer(answer);
  EXPECT_EQ(rendered.http_status, 200);
  EXPECT_EQ(rendered.body,
            R"({"status":"partial","execution":"ran","coverage":{)"
            R"("shard_map":7,"covered_share":0.75,"covered":[)"
            R"({"from":"","to":"h"},{"from":"q","to":""}],"gaps":[)"
            R"({"shard":"c","from":"h","to":"q","cause":"timeout"}]},)"
            R"("index_version":42,"config_version":3,"trace_id":"00ff",)"
            R"("detail":"","results":[1]})");
}

// Guards against reporting a one-key answer as partial because other shards
// were not addressed.
TEST(AnswerJsonTest, RendersOneKeyAnswerAsComplete) {
  QueryAnswer answer;
  answer.coverage = Coverage(*FourShards(7), GapCause::kNotAddressed);
  answer.coverage.SetCovered(2);
  std::string body = RenderAnswer(answer).body;
  EXPECT_NE(body.find(R"("status":"complete")"), std::string::npos);
  EXPECT_NE(body.find(R"("covered_share":1.0)"), std::string::npos);
}

// Guards against a detail text that makes the JSON of a refusal malformed.
TEST(AnswerJsonTest, EscapesDetailOfRefusal) {
  RenderedAnswer rendered = RenderRefusal(
      ErrorKind::kBadRequest, Execution::kNotRun, "a \"b\"\\\n\x01");
  EXPECT_EQ(rendered.http_status, 400);
  EXPECT_EQ(rendered.body,
            R"({"status":"bad_request","execution":"not_run",)"
            R"("index_version":null,"config_version":0,"trace_id":"",)"
            R"("detail":"a \"b\"\\\u000a\u0001","results":[]})");
}

// Guards against "not run" from a daemon that does not own the ticket and so
// cannot confirm it.
TEST(AnswerJsonTest, RendersTicketRefusalAsOutcomeUnknown) {
  std::string with_key =
      RenderUnprovenRefusal(ErrorKind::kOverloaded, "t", "").body;
  EXPECT_NE(with_key.find(R"("status":"outcome_unknown")"), std::string::npos);
  EXPECT_NE(with_key.find(R"("execution":"unknown")"), std::string::npos);
  std::string without_key =
      RenderUnprovenRefusal(ErrorKind::kOverloaded, "", "").body;
  EXPECT_NE(without_key.find(R"("execution":"not_run")"), std::string::npos);
}

}  // namespace
}  // namespace jujubecove
