#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <boost/asio/io_context.hpp>
#include <boost/json/parse.hpp>
#include <cstdio>
#include <fstream>
#include <sstream>

#include "telemetry/telemetry_writer.h"
#include "telemetry/tracer.h"

namespace jujubecove {
namespace {

constexpr char kParent[] =
    "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";

// Guards against accepting headers that the specification says to ignore.
TEST(SpanContextTest, ParsesOnlyValidHeaders) {
  EXPECT_EQ(SpanContext::Parse(kParent)->ToTraceparent(), kParent);
  for (const char* text :
       {"", "00", "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7",
        "00-4BF92F3577B34DA6A3CE929D0E0E4736-00f067aa0ba902b7-01",
        "00-00000000000000000000000000000000-00f067aa0ba902b7-01",
        "00-4bf92f3577b34da6a3ce929d0e0e4736-0000000000000000-01",
        "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01-x",
        "ff-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01",
        "01-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01x",
        "00_4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01"})
    EXPECT_FALSE(SpanContext::Parse(text)) << text;
  EXPECT_TRUE(SpanContext::Parse(
                  "01-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-03-x")
                  ->sampled);
}

// Guards against reads past the end of a short or malformed header.
RC_GTEST_PROP(SpanContextPropertyTest, ParsesOrRejectsMutatedHeader, ()) {
  std::string text = kParent;
  std::size_t at = *rc::gen::inRange<std::size_t>(0, text.size());
  text[at] = *rc::gen::arbitrary<char>();
  text.resize(*rc::gen::inRange<std::size_t>(0, text.size() + 2), '0');
  std::optional<SpanContext> context = SpanContext::Parse(text);
  if (context)
    RC_ASSERT(SpanContext::Parse(context->ToTraceparent()) == context);
}

// Guards against a new trace where the caller's should be continued, and
// against sampling decisions that differ within a trace.
TEST(TracerTest, KeepsParentDecisionAndSamplesNewTracesByShare) {
  Tracer tracer(1, 0.25, Duration(0));
  Span span = tracer.Start("s", SpanKind::kServer, kParent, TimePoint());
  EXPECT_EQ(span.context.TraceIdText(), "4bf92f3577b34da6a3ce929d0e0e4736");
  EXPECT_NE(span.context.SpanIdText(), "00f067aa0ba902b7");
  EXPECT_TRUE(span.parent_span_id.has_value());
  EXPECT_TRUE(span.context.sampled);
  int sampled = 0;
  for (int n = 0; n < 10'000; ++n)
    sampled +=
        tracer.Start("s", SpanKind::kServer, "", TimePoint()).context.sampled
            ? 1
            : 0;
  EXPECT_NEAR(sampled, 2'500, 200);
  EXPECT_TRUE(Tracer(1, 1.0, Duration(0))
                  .Start("s", SpanKind::kServer, "", TimePoint())
                  .context.sampled);
  EXPECT_FALSE(Tracer(1, 0.0, Duration(0))
                   .Start("s", SpanKind::kServer, "", TimePoint())
                   .context.sampled);
}

// Guards against spans that a collector can't parse, and against dropped spans
// that are not counted.
TEST(TelemetryWriterTest, WritesSpansAndCountsDroppedOnes) {
  std::string path = testing::TempDir() + "jujubecove_spans_test.jsonl";
  std::remove(path.c_str());
  boost::asio::io_context context;
  MetricsRegistry metrics;
  TelemetryWriter writer(context, metrics, {"nyeri", "entry-1"}, path);
  ASSERT_TRUE(writer.good());
  SetThisThreadTelemetryChannel(&writer.AddChannel("query", 2));
  Tracer tracer(1, 1.0, Duration(1'000'000));
  for (int n = 0; n < 3; ++n) {
    Span span = tracer.Start("hop", SpanKind::kServer, kParent,
                             TimePoint(Duration(10)));
    span.error = "timeout";
    tracer.Finish(std::move(span), TimePoint(Duration(25)));
  }
  SetThisThreadTelemetryChannel(nullptr);
  context.run();
  std::ifstream in(path);
  std::string line;
  ASSERT_TRUE(std::getline(in, line));
  boost::json::value value = boost::json::parse(line);
  const boost::json::value& span =
      value.at("resourceSpans").at(0).at("scopeSpans").at(0).at("spans").at(0);
  EXPECT_EQ(span.at("traceId").as_string(), "4bf92f3577b34da6a3ce929d0e0e4736");
  EXPECT_EQ(span.at("parentSpanId").as_string(), "00f067aa0ba902b7");
  EXPECT_EQ(span.at("startTimeUnixNano").as_string(), "1000010000");
  EXPECT_EQ(span.at("endTimeUnixNano").as_string(), "1000025000");
  EXPECT_EQ(span.at("status").at("code").as_int64(), 2);
  EXPECT_TRUE(std::getline(in, line));
  EXPECT_FALSE(std::getline(in, line));
  EXPECT_NE(metrics.ToPrometheus().find(
                "jujubecove_telemetry_dropped_spans_total{thread=\"query\"} 1"),
            std::string::npos);
  std::remove(path.c_str());
}

}  // namespace
}  // namespace jujubecove
