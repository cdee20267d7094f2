#include "platform/json_codec.h"

#include <openssl/evp.h>

#include <algorithm>
#include <array>
#include <boost/json/parse.hpp>
#include <cctype>
#include <cmath>
#include <cstdio>

namespace jujubecove::platform {
namespace {

// Base64 encodes each group of 3 bytes as 4 characters.
constexpr std::size_t kDecodedGroupBytes = 3;
constexpr std::size_t kEncodedGroupChars = 4;

}  // namespace

std::int64_t FieldReader::Integer(std::string_view name,
                                  FieldRange<std::int64_t> range) {
  if (Find(name) == nullptr)
    Fail(name);
  return OptionalInteger(name, range, range.min);
}

std::int64_t FieldReader::OptionalInteger(std::string_view name,
                                          FieldRange<std::int64_t> range,
                                          std::int64_t fallback) {
  const boost::json::value* value = Find(name);
  if (value == nullptr)
    return fallback;
  std::optional<std::int64_t> number = ToInteger(*value);
  if (number && *number >= range.min && *number <= range.max)
    return *number;
  Fail(name);
  return fallback;
}

double FieldReader::OptionalNumber(std::string_view name,
                                   FieldRange<double> range,
                                   double fallback) {
  const boost::json::value* value = Find(name);
  if (value == nullptr)
    return fallback;
  if (value->is_number()) {
    double number = value->to_number<double>();
    if (number >= range.min && number <= range.max)
      return number;
  }
  Fail(name);
  return fallback;
}

std::string FieldReader::Text(std::string_view name, std::size_t max_size) {
  if (Find(name) == nullptr)
    Fail(name);
  return OptionalText(name, max_size, "");
}

std::string FieldReader::OptionalText(std::string_view name,
                                      std::size_t max_size,
                                      const std::string& fallback) {
  const boost::json::value* value = Find(name);
  if (value == nullptr)
    return fallback;
  if (value->is_string() && value->get_string().size() <= max_size) {
    std::string text(value->get_string());
    bool printable = std::none_of(text.begin(), text.end(), [](char c) {
      return std::iscntrl(static_cast<unsigned char>(c)) != 0;
    });
    if (printable)
      return text;
  }
  Fail(name);
  return fallback;
}

const boost::json::value* FieldReader::Find(std::string_view name) const {
  const boost::json::value* value = object_.if_contains(name);
  return value == nullptr || value->is_null() ? nullptr : value;
}

void FieldReader::Fail(std::string_view name) {
  if (error_.empty())
    error_ = "the field " + std::string(name) + " is missing or invalid";
}

std::optional<std::int64_t> ToInteger(const boost::json::value& value) {
  if (value.is_int64())
    return value.get_int64();
  if (!value.is_double())
    return std::nullopt;
  // Up to here a double holds every integer exactly, and the conversion is
  // defined.
  constexpr double kMaxExact = 9007199254740992.0;
  double number = value.get_double();
  if (!(std::abs(number) <= kMaxExact) || std::floor(number) != number)
    return std::nullopt;
  return static_cast<std::int64_t>(number);
}

bool IsToken(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
    return c > ' ' && c <= '~';
  });
}

std::optional<std::string> StringField(const boost::json::object& object,
                                       std::string_view name) {
  const boost::json::value* value = object.if_contains(name);
  if (value == nullptr || !value->is_string())
    return std::nullopt;
  return std::string(value->get_string());
}

std::optional<std::int64_t> IntegerField(const boost::json::object& object,
                                         std::string_view name) {
  const boost::json::value* value = object.if_contains(name);
  return value == nullptr ? std::nullopt : ToInteger(*value);
}

std::optional<boost::json::object> ParseObject(std::string_view text) {
  boost::system::error_code ec;
  boost::json::value value = boost::json::parse(text, ec);
  if (ec || !value.is_object())
    return std::nullopt;
  return std::move(value.get_object());
}

std::optional<std::string> DecodeBase64(std::string_view text) {
  if (text.size() % kEncodedGroupChars != 0)
    return std::nullopt;
  if (text.empty())
    return std::string();
  std::string data(text.size() / kEncodedGroupChars * kDecodedGroupBytes, '\0');
  int size =
      EVP_DecodeBlock(reinterpret_cast<unsigned char*>(data.data()),
                      reinterpret_cast<const unsigned char*>(text.data()),
                      static_cast<int>(text.size()));
  if (size < 0)
    return std::nullopt;
  std::size_t padding = text.ends_with("==") ? 2 : text.ends_with("=") ? 1 : 0;
  data.resize(static_cast<std::size_t>(size) - padding);
  return data;
}

std::string EncodeBase64(std::string_view data) {
  std::string text((data.size() + kDecodedGroupBytes - 1) / kDecodedGroupBytes *
                           kEncodedGroupChars +
                       1,
                   '\0');
  int size =
      EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                      reinterpret_cast<const unsigned char*>(data.data()),
                      static_cast<int>(data.size()));
  text.resize(static_cast<std::size_t>(size));
  return text;
}

std::string EscapeQuery(std::string_view text) {
  std::string out;
  for (char c : text) {
    auto byte = static_cast<unsigned char>(c);
    if (std::isalnum(byte) != 0 || c == '/' || c == '-' || c == '_' ||
        c == '.' || c == '~') {
      out += c;
      continue;
    }
    std::array<char, 4> buf{};
    std::snprintf(buf.data(), buf.size(), "%%%02X", byte);
    out += buf.data();
  }
  return out;
}

}  // namespace jujubecove::platform
