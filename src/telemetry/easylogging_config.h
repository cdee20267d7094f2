#pragma once

// Has to be included before easylogging++.h wherever that is included, since
// these definitions change the layout of its types.

#include <iostream>

// Lines can come from several threads before the telemetry thread runs.
#define ELPP_THREAD_SAFE
// VMs have no disks.
#define ELPP_NO_DEFAULT_LOG_FILE
#define ELPP_DEFAULT_LOGGING_FLAGS 0
// A crash has to end the process with its signal.
#define ELPP_DISABLE_DEFAULT_CRASH_HANDLING
#define ELPP_CUSTOM_COUT std::cerr
