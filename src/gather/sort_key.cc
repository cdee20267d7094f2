#include "gather/sort_key.h"

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>
#include <charconv>
#include <cmath>
#include <limits>
#include <optional>
#include <system_error>

#include "gather/json_array.h"

namespace jujubecove {
namespace {

long double ParseNumber(std::string_view text) {
  long double number = 0;
  std::from_chars_result result =
      std::from_chars(text.data(), text.data() + text.size(), number);
  if (result.ec != std::errc::result_out_of_range)
    return number;
  bool is_underflow = text.find("e-") != std::string_view::npos ||
                      text.find("E-") != std::string_view::npos;
  if (is_underflow)
    return 0;
  constexpr long double kInfinity =
      std::numeric_limits<long double>::infinity();
  return text.front() == '-' ? -kInfinity : kInfinity;
}

std::string ParseString(std::string_view quoted) {
  if (quoted.find('\\') == std::string_view::npos)
    return std::string(quoted.substr(1, quoted.size() - 2));
  boost::json::value value = boost::json::parse(
      boost::json::string_view(quoted.data(), quoted.size()));
  return std::string(value.as_string());
}

template <typename T>
int Compare(const T& left, const T& right) {
  if (left < right)
    return -1;
  return right < left ? 1 : 0;
}

}  // namespace

SortKey SortKeyOf(std::string_view record, std::string_view member) {
  std::optional<std::string_view> value = FindMember(record, member);
  SortKey key;
  if (!value || value->empty())
    return key;
  char first = value->front();
  if (first == '"') {
    key.type = SortKey::Type::kString;
    key.text = ParseString(*value);
  } else if (first == '-' || (first >= '0' && first <= '9')) {
    key.type = SortKey::Type::kNumber;
    key.number = ParseNumber(*value);
  } else {
    key.type = SortKey::Type::kOther;
  }
  return key;
}

int CompareSortKeys(const SortKey& left,
                    const SortKey& right,
                    bool descending) {
  if (left.type != right.type)
    return left.type < right.type ? -1 : 1;
  int order = 0;
  if (left.type == SortKey::Type::kNumber)
    order = Compare(left.number, right.number);
  if (left.type == SortKey::Type::kString)
    order = Compare(left.text, right.text);
  return descending ? -order : order;
}

}  // namespace jujubecove
