#include "daemon/command_line.h"
#include "kernel/startup_signals.h"

JUJUBECOVE_HOLD_RELOAD_SIGNAL();

int main(int argc, char** argv) {
  return jujubecove::RunDaemon(argc, argv);
}
