#include "settings/overrides.h"

#include <sstream>
#include <utility>

namespace jujubecove {

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
  for (const std::string& value : values) {
    std::istringstream stream(value);
    for (std::string part; std::getline(stream, part, ',');)
      overrides.push_back(part);
  }
  return overrides;
}

}  // namespace jujubecove
