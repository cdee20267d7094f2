#pragma once

#include <string>
#include <vector>

namespace jujubecove {

// Removes each "--set VALUE" and "--set=VALUE" from the arguments and returns
// the values, each split at commas. gflags keeps only the last of a repeated
// flag.
std::vector<std::string> TakeOverrides(std::vector<std::string>& arguments);

// The whole run of jujubecoved; returns the exit code.
int RunDaemon(int argc, char** argv);

}  // namespace jujubecove
