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
  DecisionLogTest() : sink_(Open(), 1U << 16U), log_(sink_, "vm", 10) {}
  ~DecisionLogTest() override {
    close(pipe_[0]);
    close(pipe_[1]);
  }

  int Open() {
    EXPECT_EQ(pipe(pipe_.data()), 0);
    fcntl(pipe_[0], F_SETFL, O_NONBLOCK);
    return pipe_[1];
  }
  void Write(DecisionPriority rank, TimePoint now) {
    DecisionLine(log_, LogCategory::kGather, rank, "event", now)
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
  static int Lines(const std::string& text) {
    return static_cast<int>(std::count(text.begin(), text.end(), '\n'));
  }

  std::array<int, 2> pipe_{};
  LineSink sink_;
  DecisionLog log_;
};

// Guards against a log that a request's id can forge lines in.
TEST_F(DecisionLogTest, WritesOneEscapedObjectALine) {
  Write(DecisionPriority::kNotable, TimePoint(seconds(1)));
  std::string text = ReadAll();
  EXPECT_EQ(Lines(text), 1);
  EXPECT_NE(text.find(R"("request":"r\"1\u000a","count":3,"took_ms":1.5})"),
            std::string::npos)
      << text;
}

// Guards against an unbounded log under load, and against usual requests that
// push failures out of it.
TEST_F(DecisionLogTest, TheLimitLeavesRoomForFailures) {
  TimePoint now(seconds(1));
  for (int n = 0; n < 100; ++n)
    Write(DecisionPriority::kRoutine, now);
  EXPECT_EQ(Lines(ReadAll()), 5);
  for (int n = 0; n < 100; ++n)
    Write(DecisionPriority::kNotable, now);
  EXPECT_EQ(Lines(ReadAll()), 5);
  Write(DecisionPriority::kStateChange, now);
  EXPECT_EQ(Lines(ReadAll()), 1);
  Write(DecisionPriority::kRoutine, now + seconds(1));
  std::string text = ReadAll();
  EXPECT_NE(text.find(R"("event":"lines_left_out","count":190})"),
            std::string::npos)
      << text;
}

// Guards against log lines outside of the bounded buffer.
TEST_F(DecisionLogTest, OtherLinesTakeTheSameWay) {
  SetLogFormat(LogFormat::kJson);
  SetLogOutput([this](std::string_view line) { sink_.Append(line); });
  JJ_LOG(kStore, WARNING) << "the store answered nonsense";
  SetLogOutput(nullptr);
  SetLogFormat(LogFormat::kText);
  EXPECT_NE(ReadAll().find("the store answered nonsense"), std::string::npos);
}

// Guards against a reader that stops reading and so stops the process.
TEST_F(DecisionLogTest, AFullPipeDelaysNothing) {
  for (int second = 0; second < 2000; ++second) {
    for (int n = 0; n < 10; ++n)
      Write(DecisionPriority::kNotable, TimePoint(seconds(second)));
    sink_.Flush();
  }
  EXPECT_GT(sink_.dropped(), 0U);
  EXPECT_LE(sink_.buffered(), 1U << 16U);
  EXPECT_GT(Lines(ReadAll()), 100);
}

}  // namespace
}  // namespace jujubecove
