#include "telemetry/decision_log.h"

#include <array>
#include <chrono>
#include <cstdio>

namespace jujubecove {
namespace {

// Part of the limit that routine lines may use.
constexpr double kRoutineLimitShare = 0.5;
// Changes of state are rare and explain many requests, so their limit is higher
// by this factor.
constexpr int kStateChangeLimitFactor = 2;

void AppendEscaped(std::string& text, std::string_view value) {
  for (char c : value) {
    auto byte = static_cast<unsigned char>(c);
    if (c == '"' || c == '\\') {
      text += '\\';
      text += c;
    } else if (byte < 0x20 || byte >= 0x7f) {
      std::array<char, 8> buf{};
      std::snprintf(buf.data(), buf.size(), "\\u%04x", byte);
      text += buf.data();
    } else {
      text += c;
    }
  }
}

std::int64_t WallClockMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace

bool DecisionLog::AllowLine(LogCategory category,
                            DecisionPriority priority,
                            TimePoint now) {
  if (!IsLogged(category, LogLevel::kInfo))
    return false;
  Window& window = windows_[static_cast<std::size_t>(category)];
  std::int64_t second = now.time_since_epoch() / std::chrono::seconds(1);
  if (window.second != second)
    StartWindow(window, category, second);
  int limit = lines_per_second_;
  if (priority == DecisionPriority::kRoutine)
    limit = static_cast<int>(limit * kRoutineLimitShare);
  else if (priority == DecisionPriority::kStateChange)
    limit *= kStateChangeLimitFactor;
  if (window.lines >= limit) {
    ++window.left_out;
    ++left_out_;
    return false;
  }
  ++window.lines;
  return true;
}

void DecisionLog::StartWindow(Window& window,
                              LogCategory category,
                              std::int64_t second) {
  std::uint64_t left_out = window.left_out;
  window = Window{second, 0, 0};
  if (left_out == 0)
    return;
  std::string line =
      "{\"time_ms\":" + std::to_string(WallClockMs()) + ",\"vm\":\"" + vm_ +
      "\",\"category\":\"" + std::string(NameOf(category)) +
      "\",\"event\":\"lines_left_out\",\"count\":" + std::to_string(left_out) +
      "}";
  sink_.Append(line);
}

DecisionLine::DecisionLine(DecisionLog& log,
                           LogCategory category,
                           DecisionPriority priority,
                           std::string_view event,
                           TimePoint now)
    : log_(log.AllowLine(category, priority, now) ? &log : nullptr) {
  if (log_ == nullptr)
    return;
  text_.reserve(256);
  text_ = "{\"time_ms\":" + std::to_string(WallClockMs()) + ",\"vm\":\"" +
          log.vm() + "\",\"category\":\"" + std::string(NameOf(category)) +
          "\",\"event\":\"";
  text_ += event;
  text_ += '"';
}

DecisionLine::~DecisionLine() {
  if (log_ == nullptr)
    return;
  text_ += '}';
  log_->Write(text_);
}

void DecisionLine::AddName(std::string_view name) {
  text_ += ",\"";
  text_ += name;
  text_ += "\":";
}

DecisionLine& DecisionLine::Add(std::string_view name, std::string_view value) {
  if (log_ == nullptr)
    return *this;
  AddName(name);
  text_ += '"';
  AppendEscaped(text_, value);
  text_ += '"';
  return *this;
}

DecisionLine& DecisionLine::Add(std::string_view name, double value) {
  if (log_ == nullptr)
    return *this;
  AddName(name);
  std::array<char, 32> buf{};
  std::snprintf(buf.data(), buf.size(), "%.4g", value);
  text_ += buf.data();
  return *this;
}

DecisionLine& DecisionLine::Add(std::string_view name, Duration value) {
  if (log_ == nullptr)
    return *this;
  AddName(name);
  std::array<char, 32> buf{};
  std::snprintf(buf.data(), buf.size(), "%.1f", ToMilliseconds(value));
  text_ += buf.data();
  return *this;
}

DecisionLine& DecisionLine::AddInteger(std::string_view name,
                                       std::int64_t value) {
  if (log_ == nullptr)
    return *this;
  AddName(name);
  text_ += std::to_string(value);
  return *this;
}

}  // namespace jujubecove
