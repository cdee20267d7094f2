#pragma once

#include <algorithm>
#include <charconv>
#include <concepts>
#include <cstddef>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

#include "base/units.h"
#include "settings/socket_address.h"

namespace jujubecove {

// An inclusive range.
template <typename T>
struct SettingRange {
  T min = std::numeric_limits<T>::lowest();
  T max = std::numeric_limits<T>::max();
};

// One choice of an enumeration.
template <typename T>
struct SettingChoice {
  std::string name;
  T value;
};

// Parses a finite decimal number without exponent. The number must take up the
// whole text.
std::optional<double> ParseNumber(std::string_view text);
// Returns the shortest decimal text that parses as the same number.
std::string FormatNumber(double value);

// Converts values of one type to and from text. `Accepted` holds the accepted
// range or choices. Parse returns nullopt for text that is malformed or not
// accepted.
template <typename T>
struct SettingCodec;

template <>
struct SettingCodec<bool> {
  struct Accepted {};
  static std::optional<bool> Parse(std::string_view text, const Accepted&);
  static std::string Format(bool value, const Accepted&);
  static std::string Describe(const Accepted&);
};

template <std::integral T>
struct SettingCodec<T> {
  using Accepted = SettingRange<T>;

  static std::optional<T> Parse(std::string_view text,
                                const Accepted& accepted) {
    T value{};
    const char* last = text.data() + text.size();
    auto [end, error] = std::from_chars(text.data(), last, value);
    if (text.empty() || error != std::errc() || end != last ||
        value < accepted.min || value > accepted.max)
      return std::nullopt;
    return value;
  }
  static std::string Format(T value, const Accepted&) {
    return std::to_string(value);
  }
  static std::string Describe(const Accepted& accepted) {
    return "an integer from " + std::to_string(accepted.min) + " to " +
           std::to_string(accepted.max);
  }
};

template <>
struct SettingCodec<double> {
  using Accepted = SettingRange<double>;
  static std::optional<double> Parse(std::string_view text,
                                     const Accepted& accepted);
  static std::string Format(double value, const Accepted&);
  static std::string Describe(const Accepted& accepted);
};

// Durations are written in milliseconds with at most three decimals.
template <>
struct SettingCodec<Duration> {
  struct Accepted {
    Duration min{0};
    Duration max = std::chrono::hours(24 * 365);
  };
  static std::optional<Duration> Parse(std::string_view text,
                                       const Accepted& accepted);
  static std::string Format(Duration value, const Accepted&);
  static std::string Describe(const Accepted& accepted);
};

// One line of text without control characters.
template <>
struct SettingCodec<std::string> {
  struct Accepted {
    std::size_t min_size = 0;
    std::size_t max_size = 1024;
  };
  static std::optional<std::string> Parse(std::string_view text,
                                          const Accepted& accepted);
  static std::string Format(const std::string& value, const Accepted&);
  static std::string Describe(const Accepted& accepted);
};

template <>
struct SettingCodec<SocketAddress> {
  struct Accepted {};
  static std::optional<SocketAddress> Parse(std::string_view text,
                                            const Accepted&);
  static std::string Format(const SocketAddress& value, const Accepted&);
  static std::string Describe(const Accepted&);
};

template <typename T>
requires std::is_enum_v<T>
struct SettingCodec<T> {
  using Accepted = std::vector<SettingChoice<T>>;

  static std::optional<T> Parse(std::string_view text,
                                const Accepted& accepted) {
    for (const SettingChoice<T>& choice : accepted) {
      if (choice.name == text)
        return choice.value;
    }
    return std::nullopt;
  }
  static std::string Format(T value, const Accepted& accepted) {
    for (const SettingChoice<T>& choice : accepted) {
      if (choice.value == value)
        return choice.name;
    }
    return "";
  }
  static std::string Describe(const Accepted& accepted) {
    std::string text = "one of";
    for (const SettingChoice<T>& choice : accepted)
      text += (text == "one of" ? " " : ", ") + choice.name;
    return text;
  }
};

}  // namespace jujubecove
