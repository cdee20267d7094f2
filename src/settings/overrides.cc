#include "settings/overrides.h"

#include <utility>

namespace jujubecove {
namespace {

// A comma within braces belongs to a value that is a JSON object.
void SplitAtCommas(const std::string& text, std::vector<std::string>& parts) {
  int depth = 0;
  std::string part;
  for (char c : text) {
    depth += c == '{' ? 1 : c == '}' ? -1 : 0;
    if (c == ',' && depth == 0) {
      parts.push_back(std::move(part));
      part.clear();
    } else {
      part += c;
    }
  }
  if (!part.empty())
    parts.push_back(std::move(part));
}

}  // namespace

std::vector<std::string> TakeOverrides(std::vector<std::string>& arguments) {
  std::vector<std::string> values;
  std::vector<std::string> rest;
  for (std::size_t n = 0; n < arguments.size(); ++n) {
    const std::string& it = arguments[n];
    bool is_flag = it == "--set" || it == "-set";
    if (is_flag && n + 1 < arguments.size())
      values.push_back(arguments[++n]);
    else if (it.starts_with("--set=") || it.starts_with("-set="))
      values.push_back(it.substr(it.find('=') + 1));
    else
      rest.push_back(it);
  }
  arguments = std::move(rest);
  std::vector<std::string> overrides;
  for (const std::string& value : values)
    SplitAtCommas(value, overrides);
  return overrides;
}

}  // namespace jujubecove
