#include "upstream/upstream_transport.h"

namespace jujubecove {

std::string_view NameOf(AttemptOutcome outcome) {
  switch (outcome) {
    case AttemptOutcome::kOk:
      return "ok";
    case AttemptOutcome::kRefusedBusy:
      return "refused_busy";
    case AttemptOutcome::kRefusedDraining:
      return "refused_draining";
    case AttemptOutcome::kRefusedVersion:
      return "refused_version";
    case AttemptOutcome::kRefusedMap:
      return "refused_map";
    case AttemptOutcome::kRefusedCold:
      return "refused_cold";
    case AttemptOutcome::kRefusedDeadline:
      return "refused_deadline";
    case AttemptOutcome::kNoConnection:
      return "no_connection";
    case AttemptOutcome::kConnectFailed:
      return "connect_failed";
    case AttemptOutcome::kConnectionLost:
      return "connection_lost";
    case AttemptOutcome::kSilent:
      return "silent";
    case AttemptOutcome::kTimedOut:
      return "timed_out";
    case AttemptOutcome::kBadReply:
      return "bad_reply";
    case AttemptOutcome::kFailed:
      return "failed";
    case AttemptOutcome::kCancelled:
      break;
  }
  return "cancelled";
}

}  // namespace jujubecove
