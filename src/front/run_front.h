#pragma once

#include <string>

namespace jujubecove {

// Runs the entry daemon on the platform with the settings file at `path`, or
// only checks the file.
int RunFront(const std::string& path, bool check_only);

}  // namespace jujubecove
