#pragma once

#include "base/units.h"

namespace jujubecove {

// Retry and hedge budget of one service, as a token bucket.
class RetryBudget {
 public:
  // Added by each first attempt.
  static constexpr double kTokensPerAttempt = 0.05;
  static constexpr double kMaxTokens = 10;
  // Allows one retry after a lost connection while a daemon starts. One for
  // each service is too few to cause an overload when all daemons restart.
  static constexpr double kInitialTokens = 1;

  void OnFirstAttempt(bool service_is_slow);
  bool TryTakeToken(bool service_is_slow);
  double tokens() const { return tokens_; }

 private:
  double tokens_ = kInitialTokens;
};

}  // namespace jujubecove
