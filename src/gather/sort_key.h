#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace jujubecove {

// The value by which a record is ordered. Numbers come before strings, strings
// before other values, and records without the member last; a descending order
// turns only the order within numbers and within strings.
struct SortKey {
  enum class Type : std::uint8_t { kNumber, kString, kOther, kMissing };

  Type type = Type::kMissing;
  // Holds every 64-bit integer exactly.
  long double number = 0;
  std::string text;
};

// The key of a record within well-formed JSON text.
SortKey SortKeyOf(std::string_view record, std::string_view member);
// Negative when `left` comes first, zero for equal keys.
int CompareSortKeys(const SortKey& left, const SortKey& right, bool descending);

}  // namespace jujubecove
