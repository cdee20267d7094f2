#include "gather/retry_policy.h"

#include <algorithm>
#include <random>

namespace jujubecove {

RepeatRule RuleForOtherVersion() {
  return RepeatRule{GapCause::kVersionUnavailable, true, false, true};
}

RepeatRule RuleFor(AttemptOutcome outcome) {
  switch (outcome) {
    case AttemptOutcome::kRefusedVersion:
    case AttemptOutcome::kRefusedMap:
      return RuleForOtherVersion();
    case AttemptOutcome::kRefusedDraining:
    case AttemptOutcome::kRefusedCold:
      return RepeatRule{GapCause::kRefused, true, false, true};
    case AttemptOutcome::kConnectFailed:
      return RepeatRule{GapCause::kNoReplica, true, false, true};
    case AttemptOutcome::kNoConnection:
      return RepeatRule{GapCause::kRefused, false, false, false};
    case AttemptOutcome::kRefusedBusy:
      return RepeatRule{GapCause::kRefused, false, true, false};
    case AttemptOutcome::kSilent:
    case AttemptOutcome::kTimedOut:
      return RepeatRule{GapCause::kTimeout, true, true, false};
    case AttemptOutcome::kRefusedDeadline:
      return RepeatRule{GapCause::kTimeout, false, true, false};
    case AttemptOutcome::kOk:
    case AttemptOutcome::kBadReply:
      return RepeatRule{GapCause::kBadReply, false, true, false};
    case AttemptOutcome::kConnectionLost:
    case AttemptOutcome::kFailed:
    case AttemptOutcome::kCancelled:
      break;
  }
  return RepeatRule{GapCause::kFailed, false, true, false};
}

Duration BackOff(const EngineOptions& options,
                 std::uint32_t delays,
                 RandomEngine& random) {
  Duration::rep most = options.most_delay.count();
  Duration::rep delay = options.first_delay.count();
  for (std::uint32_t n = 0; n < delays && delay < most; ++n)
    delay *= 2;
  delay = std::min(delay, most);
  std::uniform_int_distribution<Duration::rep> jitter(delay / 2, delay);
  return Duration(jitter(random));
}

}  // namespace jujubecove
