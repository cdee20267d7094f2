#include "routing/repeat_budget.h"

#include <algorithm>

namespace jujubecove {

void RepeatBudget::OnFirstAttempt(bool slow) {
  tokens_ = slow ? 0 : std::min(kCapacity, tokens_ + kShare);
}

bool RepeatBudget::TryTake(bool slow) {
  if (slow)
    tokens_ = 0;
  if (tokens_ < 1)
    return false;
  tokens_ -= 1;
  return true;
}

}  // namespace jujubecove
