#include <cstdlib>
#include "front/run_front.h"

int main() {
  const char* path = std::getenv("JUJUBECOVE_CONFIG");
  return jujubecove::RunFront(path == nullptr ? "front.ini" : path, false);
}
