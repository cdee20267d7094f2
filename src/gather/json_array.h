#pragma once

#include <optional>
#include <string_view>

namespace jujubecove {

// The text between the brackets of `body`, without surrounding white space; it
// is empty for an empty array. Nothing unless the whole body is one well-formed
// JSON array. Builds no values and copies nothing.
std::optional<std::string_view> ElementsOfJsonArray(std::string_view body);

// Cuts the next element off the front of `elements`, which must come from
// ElementsOfJsonArray. Empty at the end.
std::string_view NextElement(std::string_view& elements);

// The raw text of the first member named `name` of the object in `record`.
// Nothing when the record is not an object or has no such member.
std::optional<std::string_view> FindMember(std::string_view record,
                                           std::string_view name);

}  // namespace jujubecove
