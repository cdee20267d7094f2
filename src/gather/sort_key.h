#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace jujubecove {

// The value by which a record is sorted. Numbers come first, then strings, then
// other values, then records without the member. A descending order reverses
// only the order within numbers and within strings.
struct SortKey {
  enum class Type : std::uint8_t { kNumber, kString, kOther, kMissing };

  Type type = Type::kMissing;
  // Represents every 64-bit integer exactly.
  long double number = 0;
  std::string text;
};

// `record` must be well-formed JSON.
SortKey SortKeyOf(std::string_view record, std::string_view member);
// Returns a negative number when `left` comes first and zero for equal keys.
int CompareSortKeys(const SortKey& left, const SortKey& right, bool descending);

}  // namespace jujubecove
