#include "settings/setting_codec.h"

#include <array>
#include <cmath>

namespace jujubecove {
namespace {

constexpr double kMicrosecondsPerMillisecond = 1000.0;

}  // namespace

std::optional<double> ParseNumber(std::string_view text) {
  double value = 0.0;
  const char* last = text.data() + text.size();
  auto [end, error] =
      std::from_chars(text.data(), last, value, std::chars_format::fixed);
  if (text.empty() || error != std::errc() || end != last ||
      !std::isfinite(value))
    return std::nullopt;
  return value;
}

std::string FormatNumber(double value) {
  // Fits every finite double: in fixed notation it has at most 309 digits
  // before the point and about 1,100 in total.
  std::array<char, 1200> buf{};
  auto [end, error] = std::to_chars(buf.data(), buf.data() + buf.size(), value,
                                    std::chars_format::fixed);
  return error == std::errc() ? std::string(buf.data(), end) : "";
}

std::optional<bool> SettingCodec<bool>::Parse(std::string_view text,
                                              const Accepted&) {
  if (text == "true")
    return true;
  if (text == "false")
    return false;
  return std::nullopt;
}

std::string SettingCodec<bool>::Format(bool value, const Accepted&) {
  return value ? "true" : "false";
}

std::string SettingCodec<bool>::Describe(const Accepted&) {
  return "true or false";
}

std::optional<double> SettingCodec<double>::Parse(std::string_view text,
                                                  const Accepted& accepted) {
  std::optional<double> value = ParseNumber(text);
  if (!value || *value < accepted.min || *value > accepted.max)
    return std::nullopt;
  return value;
}

std::string SettingCodec<double>::Format(double value, const Accepted&) {
  // Writes negative zero as zero.
  return FormatNumber(value == 0.0 ? 0.0 : value);
}

std::string SettingCodec<double>::Describe(const Accepted& accepted) {
  return "a number from " + FormatNumber(accepted.min) + " to " +
         FormatNumber(accepted.max);
}

std::optional<Duration> SettingCodec<Duration>::Parse(
    std::string_view text,
    const Accepted& accepted) {
  std::optional<double> milliseconds = ParseNumber(text);
  // Checks the range first, since the conversion below is undefined for larger
  // values.
  if (!milliseconds || *milliseconds < ToMilliseconds(accepted.min) ||
      *milliseconds > ToMilliseconds(accepted.max))
    return std::nullopt;
  double microseconds = *milliseconds * kMicrosecondsPerMillisecond;
  double rounded = std::round(microseconds);
  // Rejects fractions of a microsecond instead of dropping them. The tolerance
  // allows for the rounding error of the product.
  if (std::abs(microseconds - rounded) > 1e-3)
    return std::nullopt;
  return Duration(static_cast<Duration::rep>(rounded));
}

std::string SettingCodec<Duration>::Format(Duration value, const Accepted&) {
  return FormatNumber(ToMilliseconds(value));
}

std::string SettingCodec<Duration>::Describe(const Accepted& accepted) {
  return "a number from " + FormatNumber(ToMilliseconds(accepted.min)) +
         " to " + FormatNumber(ToMilliseconds(accepted.max)) +
         " with at most 3 decimals";
}

std::optional<std::string> SettingCodec<std::string>::Parse(
    std::string_view text,
    const Accepted& accepted) {
  if (text.size() < accepted.min_size || text.size() > accepted.max_size)
    return std::nullopt;
  for (char c : text) {
    if (static_cast<unsigned char>(c) < 0x20 || c == 0x7f)
      return std::nullopt;
  }
  return std::string(text);
}

std::string SettingCodec<std::string>::Format(const std::string& value,
                                              const Accepted&) {
  return value;
}

std::string SettingCodec<std::string>::Describe(const Accepted& accepted) {
  return "text of " + std::to_string(accepted.min_size) + " to " +
         std::to_string(accepted.max_size) +
         " bytes without control characters";
}

std::optional<SocketAddress> SettingCodec<SocketAddress>::Parse(
    std::string_view text,
    const Accepted&) {
  return SocketAddress::Parse(text);
}

std::string SettingCodec<SocketAddress>::Format(const SocketAddress& value,
                                                const Accepted&) {
  return value.ToString();
}

std::string SettingCodec<SocketAddress>::Describe(const Accepted&) {
  return "an IP address with a port, such as 127.0.0.1:8080 or [::1]:8080";
}

}  // namespace jujubecove
