#pragma once

#include <memory>

#include "admission/admission_queue.h"
#include "kernel/timer_service.h"

namespace jujubecove {

// Creates the admission queue of the query thread. `timers` must outlive it.
std::unique_ptr<AdmissionQueue> MakeAdmissionQueue(TimerService& timers);

}  // namespace jujubecove
