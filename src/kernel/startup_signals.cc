#include "kernel/startup_signals.h"

#include <csignal>

namespace jujubecove {
namespace {

void SetReloadSignalBlocked(bool blocked) {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGHUP);
  pthread_sigmask(blocked ? SIG_BLOCK : SIG_UNBLOCK, &signals, nullptr);
}

}  // namespace

void HoldReloadSignal() {
  SetReloadSignalBlocked(true);
}

void ReleaseReloadSignal() {
  SetReloadSignalBlocked(false);
}

}  // namespace jujubecove
