#include "routing/retry_budget.h"

#include <algorithm>

namespace jujubecove {

void RetryBudget::OnFirstAttempt(bool service_is_slow) {
  tokens_ =
      service_is_slow ? 0 : std::min(kMaxTokens, tokens_ + kTokensPerAttempt);
}

bool RetryBudget::TryTakeToken(bool service_is_slow) {
  if (service_is_slow)
    tokens_ = 0;
  if (tokens_ < 1)
    return false;
  tokens_ -= 1;
  return true;
}

}  // namespace jujubecove
