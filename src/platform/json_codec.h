#pragma once

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace jujubecove::platform {

// An inclusive range.
template <typename T>
struct FieldRange {
  T min;
  T max;
};

// Reads the fields of a JSON object from another process. A field that is
// missing, has another type or is out of its range reads as the fallback, and
// error() names the first such field.
class FieldReader {
 public:
  explicit FieldReader(const boost::json::object& object) : object_(object) {}

  std::int64_t Integer(std::string_view name, FieldRange<std::int64_t> range);
  // Optional fields may be missing or null.
  std::int64_t OptionalInteger(std::string_view name,
                               FieldRange<std::int64_t> range,
                               std::int64_t fallback);
  double OptionalNumber(std::string_view name,
                        FieldRange<double> range,
                        double fallback);
  // Text without control characters, of at most `max_size` bytes.
  std::string Text(std::string_view name, std::size_t max_size);
  std::string OptionalText(std::string_view name,
                           std::size_t max_size,
                           const std::string& fallback);
  void Fail(std::string_view name);

  // Empty if all fields were valid.
  const std::string& error() const { return error_; }

 private:
  const boost::json::value* Find(std::string_view name) const;

  const boost::json::object& object_;
  std::string error_;
};

// Returns the integer that a JSON value holds, also if it is written with a
// zero fraction or an exponent. Returns nullopt for other values and for
// integers that a double can't hold exactly.
std::optional<std::int64_t> ToInteger(const boost::json::value& value);

// Return a field of a JSON object, or nullopt if it is missing or has another
// type.
std::optional<std::string> StringField(const boost::json::object& object,
                                       std::string_view name);
std::optional<std::int64_t> IntegerField(const boost::json::object& object,
                                         std::string_view name);

// Whether the text has only printable ASCII characters without spaces, so that
// it can be sent in a header field and logged.
bool IsToken(std::string_view text);

// Returns nullopt if `text` is not a JSON object.
std::optional<boost::json::object> ParseObject(std::string_view text);

// Standard base64 with padding. Decoding invalid text returns nullopt.
std::optional<std::string> DecodeBase64(std::string_view text);
std::string EncodeBase64(std::string_view data);
// Percent-encodes `text` for the query part of a URL.
std::string EscapeQuery(std::string_view text);

}  // namespace jujubecove::platform
