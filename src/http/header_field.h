#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace jujubecove {

struct HeaderField {
  std::string name;
  std::string value;
};

using HeaderFields = std::vector<HeaderField>;

// Compares names of header fields, which ignore case.
bool SameHeaderName(std::string_view a, std::string_view b);

// The value of the first field of that name, or an empty text.
std::string_view FindHeader(const HeaderFields& fields, std::string_view name);

// Removes the fields that concern one connection only, and those that frame the
// body: Connection and what it names, Keep-Alive, Transfer-Encoding and so on.
void RemoveHopByHopFields(HeaderFields& fields);

}  // namespace jujubecove
