#pragma once

#include <optional>
#include <string_view>

namespace jujubecove {

// Returns the text between the brackets of `body`, trimmed; it is empty for an
// empty array. Returns nothing unless the whole body is one well-formed JSON
// array. Neither parses the elements into values nor copies them.
std::optional<std::string_view> ElementsOfJsonArray(std::string_view body);

// Removes the first element from `elements`, which must come from
// ElementsOfJsonArray, and returns it. Returns an empty text at the end.
std::string_view NextElement(std::string_view& elements);

// Returns the raw text of the first member named `name` of the object in
// `record`, or nothing when the record is not an object or lacks the member.
std::optional<std::string_view> FindMember(std::string_view record,
                                           std::string_view name);

}  // namespace jujubecove
