#pragma once

namespace jujubecove {

// Exit codes of jujubecoved; docs/OPERATIONS.md explains them.
enum DaemonExitCode : int {
  kExitOk = 0,
  // The process could not start: an address in use, an unreadable file.
  kExitStartFailed = 1,
  // The command line, the settings or the document have faults.
  kExitBadSettings = 2,
  // The shutdown reached its time limit and requests were cut off.
  kExitCutOff = 3,
};

}  // namespace jujubecove
