#include "telemetry/log.h"

#include <gtest/gtest.h>

#include <boost/json/parse.hpp>

namespace jujubecove {
namespace {

LogRecord Record(const std::string& message) {
  LogRecord record;
  record.time = std::chrono::system_clock::time_point(
      std::chrono::milliseconds(1'700'000'000'123));
  record.category = LogCategory::kRouting;
  record.level = LogLevel::kWarning;
  record.thread = "query";
  record.file = "/src/routing/router.cc";
  record.line = 12;
  record.message = message;
  return record;
}

// Guards against external text in a message that forges another line.
TEST(LogTest, KeepsRecordWithLineFeedOnOneLine) {
  EXPECT_EQ(FormatLogRecord(Record("a\nb"), LogFormat::kText),
            "2023-11-14T22:13:20.123Z warning routing query router.cc:12] a b");
  std::string json = FormatLogRecord(Record("a\n\"b"), LogFormat::kJson);
  EXPECT_EQ(json.find('\n'), std::string::npos);
  boost::json::value value = boost::json::parse(json);
  EXPECT_EQ(value.at("message").as_string(), "a\n\"b");
  EXPECT_EQ(value.at("category").as_string(), "routing");
  EXPECT_EQ(value.at("time").as_string(), "2023-11-14T22:13:20.123Z");
}

// Guards against formatting messages that are not logged, and against the level
// of one category applying to others.
TEST(LogTest, SkipsOperandsBelowLogLevel) {
  int evaluated = 0;
  SetLogLevel(LogCategory::kRouting, LogLevel::kError);
  JJ_LOG(kRouting, WARNING) << ++evaluated;
  EXPECT_EQ(evaluated, 0);
  testing::internal::CaptureStderr();
  JJ_LOG(kRouting, ERROR) << "first " << ++evaluated;
  JJ_LOG(kAdmission, INFO) << "second " << ++evaluated;
  std::string output = testing::internal::GetCapturedStderr();
  SetLogLevel(LogCategory::kRouting, LogLevel::kInfo);
  EXPECT_EQ(evaluated, 2);
  EXPECT_NE(output.find("error routing main log_test.cc"), std::string::npos)
      << output;
  EXPECT_NE(output.find("] second 2\n"), std::string::npos) << output;
}

}  // namespace
}  // namespace jujubecove
