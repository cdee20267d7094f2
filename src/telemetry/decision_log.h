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

// How much a decision explains. When there are more lines than the limit, those
// of normal requests are left out first.
enum class DecisionPriority : std::uint8_t {
  // A request went as usual.
  kRoutine,
  // A request was refused, failed, late or incomplete, or something was
  // repeated.
  kNotable,
  // What the process believes has changed.
  kStateChange,
};

// Structured log of decisions: one JSON object a line, with the request's id
// and the inputs that decided. The number of lines a second is bounded for each
// category; what was left out is counted and said once a second.
class DecisionLog {
 public:
  DecisionLog(LineSink& sink, std::string vm, int lines_per_second)
      : sink_(sink), vm_(std::move(vm)), lines_per_second_(lines_per_second) {}

  // Whether a line of this rank may be written now.
  bool Admit(LogCategory category, DecisionPriority rank, TimePoint now);
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

  void Start(Window& window, LogCategory category, std::int64_t second);

  LineSink& sink_;
  std::string vm_;
  int lines_per_second_;
  std::array<Window, kLogCategoryCount> windows_{};
  std::uint64_t left_out_ = 0;
};

// Builds one line of the decision log, which is written when it is destroyed.
class DecisionLine {
 public:
  DecisionLine(DecisionLog& log,
               LogCategory category,
               DecisionPriority rank,
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
  // In milliseconds.
  DecisionLine& Add(std::string_view name, Duration value);

 private:
  DecisionLine& AddInteger(std::string_view name, std::int64_t value);
  void AddName(std::string_view name);

  // Null when the line is left out.
  DecisionLog* log_;
  std::string text_;
};

}  // namespace jujubecove
