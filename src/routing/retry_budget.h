#pragma once

#include "base/units.h"

namespace jujubecove {

// The budget of one service for retries and hedges.
class RetryBudget {
 public:
  // Earned by each first attempt.
  static constexpr double kShare = 0.05;
  static constexpr double kCapacity = 10;
  // Lets a lost connection be repaired while a daemon starts. One repeat for
  // each service is too few to add to an overload when all daemons restart.
  static constexpr double kInitial = 1;

  void OnFirstAttempt(bool slow);
  bool TryTake(bool slow);
  double tokens() const { return tokens_; }

 private:
  double tokens_ = kInitial;
};

}  // namespace jujubecove
