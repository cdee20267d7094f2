#include "route/route.h"

#include <algorithm>
#include <cmath>

namespace jujubecove {

std::size_t ScatterSpec::RequiredShards() const {
  // At least one part is required. The tolerance covers shares such as 0.9 that
  // have no exact binary representation.
  constexpr double kTolerance = 1e-9;
  auto needed = static_cast<std::size_t>(std::ceil(
      min_shard_share * static_cast<double>(shards.size()) - kTolerance));
  return std::max<std::size_t>(needed, 1);
}

}  // namespace jujubecove
