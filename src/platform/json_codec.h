#pragma once

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace jujubecove::platform {

// Return a field of a JSON object, or nullopt if it is missing or has another
// type.
std::optional<std::string> StringField(const boost::json::object& object,
                                       std::string_view name);
std::optional<std::int64_t> IntegerField(const boost::json::object& object,
                                         std::string_view name);
std::optional<double> NumberField(const boost::json::object& object,
                                  std::string_view name);

// Returns nullopt if `text` is not a JSON object.
std::optional<boost::json::object> ParseObject(std::string_view text);

// Standard base64 with padding. Decoding invalid text returns nullopt.
std::optional<std::string> DecodeBase64(std::string_view text);
std::string EncodeBase64(std::string_view data);
// Percent-encodes `text` for the query part of a URL.
std::string EscapeQuery(std::string_view text);

}  // namespace jujubecove::platform
