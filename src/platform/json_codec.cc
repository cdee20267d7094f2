#include "platform/json_codec.h"

#include <openssl/evp.h>

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
  if (value == nullptr)
    return std::nullopt;
  if (value->is_int64())
    return value->get_int64();
  // Some writers encode integers with a zero fraction, such as 4.0.
  if (value->is_double() &&
      std::floor(value->get_double()) == value->get_double())
    return static_cast<std::int64_t>(value->get_double());
  return std::nullopt;
}

std::optional<double> NumberField(const boost::json::object& object,
                                  std::string_view name) {
  const boost::json::value* value = object.if_contains(name);
  if (value == nullptr || !value->is_number())
    return std::nullopt;
  return value->to_number<double>();
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
