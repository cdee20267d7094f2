#pragma once

#include <cstdint>
#include <string_view>

namespace jujubecove {

// Whether a request has run, as far as is known.
enum class Execution : std::uint8_t { kNotRun, kRan, kUnknown };

// All errors with which the tier refuses or fails a request. A new kind needs a
// row in the table of error_kind.cc, in docs/interfaces.md and in
// docs/OPERATIONS.md.
enum class ErrorKind : std::uint8_t {
  kBadRequest,
  kUnauthenticated,
  kUnknownKind,
  kNotFound,
  kMethodNotAllowed,
  kRequestTimeout,
  kPayloadTooLarge,
  kHeaderTooLarge,
  kTicketRequired,
  kTicketInvalid,
  kTicketMismatch,
  kTicketExpired,
  kOverloaded,
  kDeadlineUnmeetable,
  kNoUpstream,
  kNotReady,
  kShuttingDown,
  kTooManyConnections,
  kCoverageTooLow,
  kSnapshotUnavailable,
  kDeadlineExceeded,
  kOutcomeUnknown,
  kShardsUnavailable,
  kInternal,
  kRateLimited,
};

inline constexpr int kErrorKindCount =
    static_cast<int>(ErrorKind::kRateLimited) + 1;

// How an error kind is reported to the caller. `execution` is the default;
// proof that the request did not run overrides it.
struct ErrorAnswer {
  ErrorKind kind;
  std::string_view name;
  int http_status;
  Execution execution;
};

const ErrorAnswer& AnswerOf(ErrorKind kind);
std::string_view NameOf(ErrorKind kind);
std::string_view NameOf(Execution execution);

}  // namespace jujubecove
