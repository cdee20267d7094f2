#pragma once

#include <string>

namespace jujubecove {

// Runs the entry daemon with the settings file at `path`, or only validates the
// file. Returns the exit code.
int RunFront(const std::string& path, bool check_only);

}  // namespace jujubecove
