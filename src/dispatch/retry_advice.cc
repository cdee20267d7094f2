#include "dispatch/retry_advice.h"

#include <algorithm>

namespace jujubecove {
namespace {

// Callers wait for at most this part of their remaining time.
constexpr int kMaxShareDivisor = 3;
// A known wait is extended by up to this part of it.
constexpr int kSpreadDivisor = 2;
constexpr Duration kMinSpread = std::chrono::milliseconds(40);

}  // namespace

Duration RetryAdvice::Get(std::optional<Duration> wait, Duration left) {
  Duration longest = std::max(left, Duration(0)) / kMaxShareDivisor;
  // Without an estimate, a later return finds more searchers back.
  Duration from = wait ? std::max(*wait, Duration(0)) : longest / 2;
  Duration to =
      wait ? from + std::max(from / kSpreadDivisor, kMinSpread) : longest;
  std::uniform_int_distribution<Duration::rep> spread(from.count(), to.count());
  return std::min(Duration(spread(random_)), longest);
}

}  // namespace jujubecove
