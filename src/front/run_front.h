#pragma once

#include "front/front_settings.h"

namespace jujubecove {

// Runs the entry daemon, or only validates its settings. Returns the exit code.
int RunFront(const SettingsSource& source, bool check_only);

}  // namespace jujubecove
