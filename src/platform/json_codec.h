#pragma once

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace jujubecove::platform {

// Fields of a JSON object, or nothing where a field is missing or has another
// type.
std::optional<std::string> StringField(const boost::json::object& object,
                                       std::string_view name);
std::optional<std::int64_t> IntegerField(const boost::json::object& object,
                                         std::string_view name);
std::optional<double> NumberField(const boost::json::object& object,
                                  std::string_view name);

// Nothing for text that is not a JSON object.
std::optional<boost::json::object> ParseObject(std::string_view text);

// Standard base64 with padding. Nothing for text that is not.
std::optional<std::string> DecodeBase64(std::string_view text);
std::string EncodeBase64(std::string_view data);
// As in the query of a URL.
std::string EscapeQuery(std::string_view text);

}  // namespace jujubecove::platform
