#include "gather/retry_policy.h"

#include <algorithm>
#include <random>

namespace jujubecove {

RetryPolicy RetryPolicyForWrongVersion() {
  return RetryPolicy{GapCause::kVersionUnavailable, true, false, true};
}

RetryPolicy RetryPolicyFor(AttemptOutcome outcome) {
  switch (outcome) {
    case AttemptOutcome::kRefusedVersion:
    case AttemptOutcome::kRefusedMap:
      return RetryPolicyForWrongVersion();
    case AttemptOutcome::kRefusedDraining:
    case AttemptOutcome::kRefusedCold:
      return RetryPolicy{GapCause::kRefused, true, false, true};
    case AttemptOutcome::kConnectFailed:
      return RetryPolicy{GapCause::kNoReplica, true, false, true};
    case AttemptOutcome::kNoConnection:
      return RetryPolicy{GapCause::kRefused, false, false, false};
    case AttemptOutcome::kRefusedBusy:
      return RetryPolicy{GapCause::kRefused, false, true, false};
    case AttemptOutcome::kSilent:
    case AttemptOutcome::kTimedOut:
      return RetryPolicy{GapCause::kTimeout, true, true, false};
    case AttemptOutcome::kRefusedDeadline:
      return RetryPolicy{GapCause::kTimeout, false, true, false};
    case AttemptOutcome::kOk:
    case AttemptOutcome::kBadReply:
      return RetryPolicy{GapCause::kBadReply, false, true, false};
    case AttemptOutcome::kConnectionLost:
    case AttemptOutcome::kFailed:
    case AttemptOutcome::kCancelled:
      break;
  }
  return RetryPolicy{GapCause::kFailed, false, true, false};
}

Duration JitteredBackoff(const EngineOptions& options,
                         std::uint32_t backoff_count,
                         RandomEngine& random) {
  Duration::rep most = options.max_backoff.count();
  Duration::rep delay = options.initial_backoff.count();
  for (std::uint32_t n = 0; n < backoff_count && delay < most; ++n)
    delay *= 2;
  delay = std::min(delay, most);
  std::uniform_int_distribution<Duration::rep> jitter(delay / 2, delay);
  return Duration(jitter(random));
}

}  // namespace jujubecove
