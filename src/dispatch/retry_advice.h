#pragma once

#include <optional>

#include "base/random.h"
#include "base/units.h"

namespace jujubecove {

// Decides when the caller of a refused request should ask again. Refusals come
// in bursts, while all searchers of a shard are down, full or push back, so the
// callers' returns are spread.
class RetryAdvice {
 public:
  explicit RetryAdvice(RandomEngine& random) : random_(random) {}

  // `wait` is the shortest time after which the request could be served, if
  // that is known; `left` is the time until its deadline. The result leaves
  // most of the remaining time for the next try.
  Duration Get(std::optional<Duration> wait, Duration left);

 private:
  RandomEngine& random_;
};

}  // namespace jujubecove
