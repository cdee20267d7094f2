#include "routing/retry_budget.h"

#include <algorithm>

namespace jujubecove {

void RetryBudget::OnFirstAttempt(bool slow) {
  tokens_ = slow ? 0 : std::min(kCapacity, tokens_ + kShare);
}

bool RetryBudget::TryTake(bool slow) {
  if (slow)
    tokens_ = 0;
  if (tokens_ < 1)
    return false;
  tokens_ -= 1;
  return true;
}

}  // namespace jujubecove
