#pragma once

#include <cstdint>
#include <string_view>

namespace jujubecove {

// What is known about whether a request took effect.
enum class Execution : std::uint8_t { kNotRun, kRan, kUnknown };

// Every way in which the tier can refuse or fail a request. The list is closed:
// a new kind needs a row in the table of error_kind.cc, in docs/interfaces.md
// and in docs/OPERATIONS.md.
enum class ErrorKind : std::uint8_t {
  kBadRequest,
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
};

inline constexpr int kErrorKindCount =
    static_cast<int>(ErrorKind::kInternal) + 1;

// The answer that belongs to an error kind. `execution` is the statement for a
// request of which nothing more is known; a proof that it did not run overrides
// it.
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
