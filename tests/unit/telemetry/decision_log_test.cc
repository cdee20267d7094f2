#include "telemetry/decision_log.h"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include <algorithm>

#include <array>
#include <string>

namespace jujubecove {
namespace {

using std::chrono::seconds;

class DecisionLogTest : public testing::Test {
 protected:
  DecisionLogTest() : sink_(OpenPipe(), 1U << 16U), log_(sink_, "vm", 10) {}
  ~DecisionLogTest() override {
    close(pipe_[0]);
    close(pipe_[1]);
  }

  int OpenPipe() {
    EXPECT_EQ(pipe(pipe_.data()), 0);
    fcntl(pipe_[0], F_SETFL, O_NONBLOCK);
    return pipe_[1];
  }
  void WriteLine(DecisionPriority priority, TimePoint now) {
    DecisionLine(log_, LogCategory::kGather, priority, "event", now)
        .Add("request", "r\"1\n")
        .Add("count", 3)
        .Add("took_ms", Duration(1500));
  }
  std::string ReadAll() {
    sink_.Flush();
    std::string text;
    std::array<char, 4096> buf{};
    for (ssize_t n = read(pipe_[0], buf.data(), buf.size()); n > 0;
         n = read(pipe_[0], buf.data(), buf.size()))
      text.append(buf.data(), static_cast<std::size_t>(n));
    return text;
  }
  static int CountLines(const std::string& text) {
    return static_cast<int>(std::count(text.begin(), text.end(), '\n'));
  }

  std::array<int, 2> pipe_{};
  LineSink sink_;
  DecisionLog log_;
};

// Guards against a request id that forges log lines.
TEST_F(DecisionLogTest, EscapesValuesAndWritesOneObjectPerLine) {
  WriteLine(DecisionPriority::kNotable, TimePoint(seconds(1)));
  std::string text = ReadAll();
  EXPECT_EQ(CountLines(text), 1);
  EXPECT_NE(text.find(R"("request":"r\"1\u000a","count":3,"took_ms":1.5})"),
            std::string::npos)
      << text;
}

// Guards against an unbounded log under load, and against routine lines that
// displace those of failures.
TEST_F(DecisionLogTest, RoutineLinesLeaveHalfOfLimitForFailures) {
  TimePoint now(seconds(1));
  for (int n = 0; n < 100; ++n)
    WriteLine(DecisionPriority::kRoutine, now);
  EXPECT_EQ(CountLines(ReadAll()), 5);
  for (int n = 0; n < 100; ++n)
    WriteLine(DecisionPriority::kNotable, now);
  EXPECT_EQ(CountLines(ReadAll()), 5);
  WriteLine(DecisionPriority::kStateChange, now);
  EXPECT_EQ(CountLines(ReadAll()), 1);
  WriteLine(DecisionPriority::kRoutine, now + seconds(1));
  std::string text = ReadAll();
  EXPECT_NE(text.find(R"("event":"lines_left_out","count":190})"),
            std::string::npos)
      << text;
}

// Guards against log lines that bypass the bounded buffer.
TEST_F(DecisionLogTest, LogOutputSendsLogLinesToSink) {
  SetLogFormat(LogFormat::kJson);
  SetLogOutput([this](std::string_view line) { sink_.Append(line); });
  JJ_LOG(kStore, WARNING) << "the store sent a malformed reply";
  SetLogOutput(nullptr);
  SetLogFormat(LogFormat::kText);
  EXPECT_NE(ReadAll().find("the store sent a malformed reply"),
            std::string::npos);
}

// Guards against a process that blocks because the reader of its log has
// stopped.
TEST_F(DecisionLogTest, DropsLinesWhenPipeIsFull) {
  for (int second = 0; second < 2000; ++second) {
    for (int n = 0; n < 10; ++n)
      WriteLine(DecisionPriority::kNotable, TimePoint(seconds(second)));
    sink_.Flush();
  }
  EXPECT_GT(sink_.dropped(), 0U);
  EXPECT_LE(sink_.buffered_bytes(), 1U << 16U);
  EXPECT_GT(CountLines(ReadAll()), 100);
}

}  // namespace
}  // namespace jujubecove
