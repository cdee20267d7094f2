#include "gather/json_array.h"

#include <boost/json/basic_parser_impl.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>
#include <cstddef>
#include <cstdint>
#include <string>

namespace jujubecove {
namespace {

// Accepts every event, because the parser is used only to check the syntax. The
// parser prescribes the names.
// NOLINTBEGIN(readability-identifier-naming)
struct SyntaxHandler {
  static constexpr std::size_t max_object_size = static_cast<std::size_t>(-1);
  static constexpr std::size_t max_array_size = static_cast<std::size_t>(-1);
  static constexpr std::size_t max_key_size = static_cast<std::size_t>(-1);
  static constexpr std::size_t max_string_size = static_cast<std::size_t>(-1);

  using error_code = boost::json::error_code;
  using string_view = boost::json::string_view;

  bool on_document_begin(error_code&) { return true; }
  bool on_document_end(error_code&) { return true; }
  bool on_array_begin(error_code&) { return true; }
  bool on_array_end(std::size_t, error_code&) { return true; }
  bool on_object_begin(error_code&) { return true; }
  bool on_object_end(std::size_t, error_code&) { return true; }
  bool on_string_part(string_view, std::size_t, error_code&) { return true; }
  bool on_string(string_view, std::size_t, error_code&) { return true; }
  bool on_key_part(string_view, std::size_t, error_code&) { return true; }
  bool on_key(string_view, std::size_t, error_code&) { return true; }
  bool on_number_part(string_view, error_code&) { return true; }
  bool on_int64(std::int64_t, string_view, error_code&) { return true; }
  bool on_uint64(std::uint64_t, string_view, error_code&) { return true; }
  bool on_double(double, string_view, error_code&) { return true; }
  bool on_bool(bool, error_code&) { return true; }
  bool on_null(error_code&) { return true; }
  bool on_comment_part(string_view, error_code&) { return true; }
  bool on_comment(string_view, error_code&) { return true; }
};
// NOLINTEND(readability-identifier-naming)

bool IsSpace(char letter) {
  return letter == ' ' || letter == '\n' || letter == '\t' || letter == '\r';
}

std::string_view Trim(std::string_view text) {
  while (!text.empty() && IsSpace(text.front()))
    text.remove_prefix(1);
  while (!text.empty() && IsSpace(text.back()))
    text.remove_suffix(1);
  return text;
}

// Returns the position after the string that starts at `begin`. `text` must be
// well-formed.
std::size_t SkipString(std::string_view text, std::size_t begin) {
  std::size_t n = begin + 1;
  while (text[n] != '"')
    n += text[n] == '\\' ? 2 : 1;
  return n + 1;
}

// Returns the position of the first `,` outside of nested values, or the end.
std::size_t EndOfValue(std::string_view text, std::size_t begin) {
  int depth = 0;
  std::size_t n = begin;
  while (n < text.size()) {
    char letter = text[n];
    if (letter == '"') {
      n = SkipString(text, n);
      continue;
    }
    if (letter == '[' || letter == '{')
      ++depth;
    if (letter == ']' || letter == '}')
      --depth;
    if (letter == ',' && depth == 0)
      return n;
    ++n;
  }
  return n;
}

bool KeyEquals(std::string_view quoted, std::string_view name) {
  if (quoted.find('\\') == std::string_view::npos)
    return quoted.substr(1, quoted.size() - 2) == name;
  boost::json::value value = boost::json::parse(
      boost::json::string_view(quoted.data(), quoted.size()));
  const boost::json::string& text = value.as_string();
  return std::string_view(text.data(), text.size()) == name;
}

}  // namespace

std::optional<std::string_view> ElementsOfJsonArray(std::string_view body) {
  std::string_view array = Trim(body);
  if (array.size() < 2 || array.front() != '[')
    return std::nullopt;
  boost::json::basic_parser<SyntaxHandler> parser{boost::json::parse_options()};
  boost::json::error_code ec;
  std::size_t used = parser.write_some(false, array.data(), array.size(), ec);
  if (ec || used != array.size() || !parser.done())
    return std::nullopt;
  return Trim(array.substr(1, array.size() - 2));
}

std::string_view NextElement(std::string_view& elements) {
  std::size_t end = EndOfValue(elements, 0);
  std::string_view element = Trim(elements.substr(0, end));
  elements.remove_prefix(end < elements.size() ? end + 1 : end);
  return element;
}

std::optional<std::string_view> FindMember(std::string_view record,
                                           std::string_view name) {
  if (record.empty() || record.front() != '{')
    return std::nullopt;
  std::string_view members = Trim(record.substr(1, record.size() - 2));
  while (!members.empty()) {
    std::size_t key_end = SkipString(members, 0);
    std::string_view key = members.substr(0, key_end);
    std::size_t value_begin = members.find(':', key_end) + 1;
    std::size_t value_end = EndOfValue(members, value_begin);
    if (KeyEquals(key, name))
      return Trim(members.substr(value_begin, value_end - value_begin));
    members.remove_prefix(value_end < members.size() ? value_end + 1
                                                     : value_end);
    members = Trim(members);
  }
  return std::nullopt;
}

}  // namespace jujubecove
