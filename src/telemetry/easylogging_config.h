#pragma once

// Must be included before every include of easylogging++.h, since these
// definitions change the layout of its types.

#include <iostream>

// Several threads can log before the telemetry thread runs.
#define ELPP_THREAD_SAFE
// VMs have no disks.
#define ELPP_NO_DEFAULT_LOG_FILE
#define ELPP_DEFAULT_LOGGING_FLAGS 0
// A crash must end the process with the signal that caused it.
#define ELPP_DISABLE_DEFAULT_CRASH_HANDLING
#define ELPP_CUSTOM_COUT std::cerr
