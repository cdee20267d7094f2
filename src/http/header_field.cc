#include "http/header_field.h"

#include <algorithm>
#include <array>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>

namespace jujubecove {
namespace {

constexpr std::array<std::string_view, 11> kHopByHopFields = {
    "Connection",
    "Keep-Alive",
    "Proxy-Connection",
    "Proxy-Authenticate",
    "Proxy-Authorization",
    "TE",
    "Trailer",
    "Transfer-Encoding",
    "Upgrade",
    "Content-Length",
    "Expect"};

bool IsHopByHop(std::string_view name) {
  return std::any_of(
      kHopByHopFields.begin(), kHopByHopFields.end(),
      [name](std::string_view it) { return SameHeaderName(it, name); });
}

}  // namespace

bool SameHeaderName(std::string_view a, std::string_view b) {
  return boost::beast::iequals({a.data(), a.size()}, {b.data(), b.size()});
}

std::string_view FindHeader(const HeaderFields& fields, std::string_view name) {
  for (const HeaderField& it : fields) {
    if (SameHeaderName(it.name, name))
      return it.value;
  }
  return {};
}

void RemoveHopByHopFields(HeaderFields& fields) {
  std::vector<std::string> connection_options;
  for (const HeaderField& it : fields) {
    if (!SameHeaderName(it.name, "Connection"))
      continue;
    for (const auto& token : boost::beast::http::token_list(it.value))
      connection_options.emplace_back(token);
  }
  std::erase_if(fields, [&connection_options](const HeaderField& it) {
    return IsHopByHop(it.name) ||
           std::any_of(connection_options.begin(), connection_options.end(),
                       [&it](const std::string& name) {
                         return SameHeaderName(it.name, name);
                       });
  });
}

}  // namespace jujubecove
