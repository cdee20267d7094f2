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

// Compares names of header fields, ignoring case.
bool SameHeaderName(std::string_view a, std::string_view b);

// Returns the value of the first field of that name, or an empty string.
std::string_view FindHeader(const HeaderFields& fields, std::string_view name);

// Removes hop-by-hop fields, including those named in Connection, and fields
// that frame the body, such as Transfer-Encoding and Content-Length.
void RemoveHopByHopFields(HeaderFields& fields);

}  // namespace jujubecove
