#pragma once

namespace jujubecove {

// Runs jujubecoved and returns the exit code.
int RunDaemon(int argc, char** argv);

}  // namespace jujubecove
