#pragma once

#include <string>
#include <vector>

namespace jujubecove {

// Removes each "--set VALUE" and "--set=VALUE" from the arguments and returns
// the values, each split at commas outside of braces. gflags would keep only
// the last one.
std::vector<std::string> TakeOverrides(std::vector<std::string>& arguments);

}  // namespace jujubecove
