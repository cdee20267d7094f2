#pragma once

namespace jujubecove {

// Exit codes of jujubecoved; docs/OPERATIONS.md explains them.
enum DaemonExitCode : int {
  kExitOk = 0,
  // The process could not start, for example because an address is in use.
  kExitStartFailed = 1,
  // The command line, the settings or the document are invalid.
  kExitBadSettings = 2,
  // The shutdown reached its time limit and requests were cut off.
  kExitCutOff = 3,
};

}  // namespace jujubecove
