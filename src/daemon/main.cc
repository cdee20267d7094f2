#include "daemon/command_line.h"

int main(int argc, char** argv) {
  return jujubecove::RunDaemon(argc, argv);
}
