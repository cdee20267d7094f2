// The library is distributed as source and is compiled once, here.
#include "telemetry/easylogging_config.h"
// NOLINTNEXTLINE(bugprone-suspicious-include)
#include <easylogging++.cc>
