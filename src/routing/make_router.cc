#include "routing/make_router.h"

#include "routing/adaptive_router.h"

namespace jujubecove {

std::unique_ptr<Router> MakeRouter(TimerService& timers, std::uint64_t seed) {
  return std::make_unique<AdaptiveRouter>(timers, seed);
}

}  // namespace jujubecove
