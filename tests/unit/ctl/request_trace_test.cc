#include "ctl/request_trace.h"

#include <gtest/gtest.h>

#include <sstream>

namespace jujubecove {
namespace {

std::string Explain(const std::string& lines) {
  std::istringstream log(lines);
  return ExplainOutcome(FindDecisions(log, "r1"));
}

// Guards against including lines of other requests, and against failing on the
// text that the platform puts before each line.
TEST(RequestTraceTest, FindsLinesOfRequest) {
  std::istringstream log(
      "1.0 vm {\"event\":\"answered\",\"request\":\"r1\"}\n"
      "{\"event\":\"answered\",\"request\":\"r2\",\"reason\":\"r1\"}\n"
      "broken { r1\n"
      "{\"event\":\"hedged\",\"request\":\"r1\"}\n");
  EXPECT_EQ(FindDecisions(log, "r1").size(), 2U);
}

TEST(RequestTraceTest, ExplainsOutcome) {
  EXPECT_EQ(
      Explain(R"({"event":"refused","request":"r1","reason":"no route"})"),
      "refused: no route");
  EXPECT_EQ(
      Explain(
          R"({"event":"attempt_failed","request":"r1","searcher":"i-1","cause":"reset"})"
          "\n"
          R"({"event":"answered","request":"r1","took_ms":3.5,"error":"outcome_unknown","reason":"broken"})"),
      "outcome_unknown after 3.5 ms: broken; the attempt at i-1 failed: "
      "reset");
  EXPECT_EQ(
      Explain(
          R"({"event":"part_missing","request":"r1","service":"s","attempts":2,"cause":"not_in_time"})"
          "\n"
          R"({"event":"answered","request":"r1","took_ms":91.5,"target_ms":100.0,"status":200})"),
      "answered with status 200 after 91.5 ms; s is missing after 2 "
      "attempts: not_in_time");
  EXPECT_NE(
      Explain(
          R"({"event":"answered","request":"r1","took_ms":150.0,"target_ms":100.0,"status":200,"last_part_searcher":"i-9","last_part_ms":149.0})")
          .find("the last part came from i-9 after 149 ms"),
      std::string::npos);
  EXPECT_NE(Explain("").find("no answer is in the log"), std::string::npos);
}

}  // namespace
}  // namespace jujubecove
