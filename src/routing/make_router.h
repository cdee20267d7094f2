#pragma once

#include <cstdint>
#include <memory>

#include "kernel/timer_service.h"
#include "routing/router.h"

namespace jujubecove {

// Creates the router of the query thread. `timers` must outlive it.
std::unique_ptr<Router> MakeRouter(TimerService& timers, std::uint64_t seed);

}  // namespace jujubecove
