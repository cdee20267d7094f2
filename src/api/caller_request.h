#pragma once

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <cstddef>
#include <cstdint>
#include <string>

#include "base/result.h"
#include "gather/query.h"

namespace jujubecove {

inline constexpr char kDeadlineHeader[] = "Jujubecove-Deadline-Ms";
inline constexpr char kCallerHeader[] = "Jujubecove-Caller";
inline constexpr char kKeyHeader[] = "Jujubecove-Key";
inline constexpr char kIdempotencyHeader[] = "Idempotency-Key";
inline constexpr char kTraceparentHeader[] = "traceparent";

// Limits of header fields and query parameters.
inline constexpr std::uint64_t kMaxDeadlineMs = 600'000;
inline constexpr std::size_t kMaxCallerBytes = 128;
inline constexpr std::size_t kMaxKeyBytes = 1'024;
inline constexpr std::size_t kMaxIdempotencyKeyBytes = 256;
inline constexpr std::size_t kMaxTicketsPerRequest = 100;

enum class Endpoint : std::uint8_t {
  kQuery,
  kTickets,
  kHealth,
  kReady,
  kMetrics,
  kStatus,
};
inline constexpr int kEndpointCount = static_cast<int>(Endpoint::kStatus) + 1;

std::string_view NameOf(Endpoint endpoint);

// A request as parsed from its header, without the body.
struct CallerRequest {
  Endpoint endpoint = Endpoint::kHealth;
  // For kQuery; id and body are not set.
  QueryRequest query;
  // For kTickets.
  std::size_t ticket_count = 0;
};

using RequestHeader =
    boost::beast::http::request_header<boost::beast::http::fields>;

// Validates and parses the header. Fails with kBadRequest, kNotFound,
// kUnknownKind or kMethodNotAllowed.
Result<CallerRequest> ParseCallerRequest(const RequestHeader& header);

// Returns the methods that the path accepts, for the Allow header; empty for an
// unknown path.
std::string AllowedMethods(std::string_view target);

}  // namespace jujubecove
