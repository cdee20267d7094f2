// easylogging++ is distributed as source and is compiled only here.
#include "telemetry/easylogging_config.h"
// NOLINTNEXTLINE(bugprone-suspicious-include)
#include <easylogging++.cc>
