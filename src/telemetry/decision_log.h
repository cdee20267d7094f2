#pragma once

#include <array>
#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include "base/units.h"
#include "telemetry/line_sink.h"
#include "telemetry/log.h"

namespace jujubecove {

// Decides which lines are left out first when the limit is reached.
enum class DecisionPriority : std::uint8_t {
  // A request took its normal course.
  kRoutine,
  // A request was refused, failed, late or incomplete, or an extra attempt was
  // sent.
  kNotable,
  // The state of the process has changed, such as the searchers that it knows.
  kStateChange,
};

// Structured log of decisions: one JSON object per line, with the request's id
// and the inputs of the decision. Each category has a limit of lines per
// second. Lines above it are left out; their number is logged at most once a
// second.
class DecisionLog {
 public:
  DecisionLog(LineSink& sink, std::string vm, int lines_per_second)
      : sink_(sink), vm_(std::move(vm)), lines_per_second_(lines_per_second) {}

  // Whether a line may be written now. Counts the line either way.
  bool AllowLine(LogCategory category,
                 DecisionPriority priority,
                 TimePoint now);
  void Write(std::string_view line) { sink_.Append(line); }
  void set_lines_per_second(int lines) { lines_per_second_ = lines; }
  const std::string& vm() const { return vm_; }
  std::uint64_t left_out() const { return left_out_; }

 private:
  struct Window {
    std::int64_t second = -1;
    int lines = 0;
    std::uint64_t left_out = 0;
  };

  void StartWindow(Window& window, LogCategory category, std::int64_t second);

  LineSink& sink_;
  std::string vm_;
  int lines_per_second_;
  std::array<Window, kLogCategoryCount> windows_{};
  std::uint64_t left_out_ = 0;
};

// Builds one line of the decision log and writes it on destruction.
class DecisionLine {
 public:
  DecisionLine(DecisionLog& log,
               LogCategory category,
               DecisionPriority priority,
               std::string_view event,
               TimePoint now);
  ~DecisionLine();
  DecisionLine(DecisionLine&& other) noexcept
      : log_(std::exchange(other.log_, nullptr)),
        text_(std::move(other.text_)) {}
  DecisionLine(const DecisionLine&) = delete;
  DecisionLine& operator=(const DecisionLine&) = delete;

  DecisionLine& Add(std::string_view name, std::string_view value);
  DecisionLine& Add(std::string_view name, const char* value) {
    return Add(name, std::string_view(value));
  }
  DecisionLine& Add(std::string_view name, double value);
  DecisionLine& Add(std::string_view name, std::integral auto value) {
    return AddInteger(name, static_cast<std::int64_t>(value));
  }
  // Writes `value` in milliseconds.
  DecisionLine& Add(std::string_view name, Duration value);

 private:
  DecisionLine& AddInteger(std::string_view name, std::int64_t value);
  void AddName(std::string_view name);

  // Null when the line is left out.
  DecisionLog* log_;
  std::string text_;
};

}  // namespace jujubecove
