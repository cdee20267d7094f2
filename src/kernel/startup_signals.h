#pragma once

namespace jujubecove {

// Blocks SIGHUP, whose default action ends the process. Called before main by
// the daemons, so that a signal that arrives during the start is delivered once
// its handler is installed.
void HoldReloadSignal();
// Delivers a held SIGHUP. Called when its handler is installed.
void ReleaseReloadSignal();

}  // namespace jujubecove

// Runs HoldReloadSignal before the constructors of the program and its
// libraries. For the file with main() only.
#define JUJUBECOVE_HOLD_RELOAD_SIGNAL()                        \
  __attribute__((section(".preinit_array"),                    \
                 used)) void (*const g_hold_reload_signal)() = \
      jujubecove::HoldReloadSignal
