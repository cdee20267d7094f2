#include "base/error_kind.h"

#include <array>
#include <cstddef>

namespace jujubecove {
namespace {

constexpr std::array<ErrorAnswer, kErrorKindCount> kAnswers = {{
    {ErrorKind::kBadRequest, "bad_request", 400, Execution::kNotRun},
    {ErrorKind::kUnauthenticated, "unauthenticated", 401, Execution::kNotRun},
    {ErrorKind::kUnknownKind, "unknown_kind", 404, Execution::kNotRun},
    {ErrorKind::kNotFound, "not_found", 404, Execution::kNotRun},
    {ErrorKind::kMethodNotAllowed, "method_not_allowed", 405,
     Execution::kNotRun},
    {ErrorKind::kRequestTimeout, "request_timeout", 408, Execution::kNotRun},
    {ErrorKind::kPayloadTooLarge, "payload_too_large", 413, Execution::kNotRun},
    {ErrorKind::kHeaderTooLarge, "header_too_large", 431, Execution::kNotRun},
    {ErrorKind::kTicketRequired, "ticket_required", 428, Execution::kNotRun},
    {ErrorKind::kTicketInvalid, "ticket_invalid", 400, Execution::kNotRun},
    {ErrorKind::kTicketMismatch, "ticket_mismatch", 422, Execution::kNotRun},
    {ErrorKind::kTicketExpired, "ticket_expired", 410, Execution::kUnknown},
    {ErrorKind::kOverloaded, "overloaded", 429, Execution::kNotRun},
    {ErrorKind::kDeadlineUnmeetable, "deadline_unmeetable", 503,
     Execution::kNotRun},
    {ErrorKind::kNoUpstream, "no_upstream", 503, Execution::kNotRun},
    {ErrorKind::kNotReady, "not_ready", 503, Execution::kNotRun},
    {ErrorKind::kShuttingDown, "shutting_down", 503, Execution::kNotRun},
    // The request was not read, so it may be a retry of one that has run.
    {ErrorKind::kTooManyConnections, "too_many_connections", 503,
     Execution::kUnknown},
    {ErrorKind::kCoverageTooLow, "coverage_too_low", 503, Execution::kUnknown},
    {ErrorKind::kSnapshotUnavailable, "snapshot_unavailable", 503,
     Execution::kUnknown},
    {ErrorKind::kDeadlineExceeded, "deadline_exceeded", 504,
     Execution::kUnknown},
    {ErrorKind::kOutcomeUnknown, "outcome_unknown", 502, Execution::kUnknown},
    {ErrorKind::kShardsUnavailable, "shards_unavailable", 504,
     Execution::kUnknown},
    {ErrorKind::kInternal, "internal", 500, Execution::kUnknown},
    {ErrorKind::kRateLimited, "rate_limited", 429, Execution::kNotRun},
}};

constexpr bool RowsFollowEnumOrder() {
  for (std::size_t n = 0; n < kAnswers.size(); ++n) {
    if (static_cast<std::size_t>(kAnswers[n].kind) != n)
      return false;
  }
  return true;
}
static_assert(RowsFollowEnumOrder(),
              "the table must follow the order of ErrorKind");

}  // namespace

const ErrorAnswer& AnswerOf(ErrorKind kind) {
  return kAnswers[static_cast<std::size_t>(kind)];
}

std::string_view NameOf(ErrorKind kind) {
  return AnswerOf(kind).name;
}

std::string_view NameOf(Execution execution) {
  switch (execution) {
    case Execution::kNotRun:
      return "not_run";
    case Execution::kRan:
      return "ran";
    case Execution::kUnknown:
      break;
  }
  return "unknown";
}

}  // namespace jujubecove
