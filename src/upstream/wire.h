#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

// Paths, header names and limits of the protocol between the daemon and a
// searcher (docs/design.md, section 5).
namespace jujubecove::wire {

inline constexpr std::string_view kExecutePath = "/v1/execute";
inline constexpr std::string_view kCancelPath = "/v1/cancel";
inline constexpr std::string_view kReportPath = "/v1/report";
inline constexpr std::string_view kPingPath = "/v1/ping";
// Followed by the map version in decimal.
inline constexpr std::string_view kMapPathPrefix = "/v1/map/";

// "<incarnation in hex>-<request>-<attempt>", echoed unchanged in the reply.
inline constexpr std::string_view kAttemptHeader = "Jujubecove-Attempt";
inline constexpr std::string_view kKindHeader = "Jujubecove-Kind";
inline constexpr std::string_view kShardHeader = "Jujubecove-Shard";
inline constexpr std::string_view kShardMapHeader = "Jujubecove-Shard-Map";
// In a request: the version that must be read. In a reply: the version read.
inline constexpr std::string_view kIndexVersionHeader =
    "Jujubecove-Index-Version";
// Remaining time in whole milliseconds, rounded down.
inline constexpr std::string_view kDeadlineHeader = "Jujubecove-Deadline-Ms";
inline constexpr std::string_view kIdempotencyKeyHeader = "Idempotency-Key";
inline constexpr std::string_view kTraceparentHeader = "traceparent";

// "<in flight>/<slots>".
inline constexpr std::string_view kLoadHeader = "Jujubecove-Load";
// "1" while the searcher is draining.
inline constexpr std::string_view kDrainingHeader = "Jujubecove-Draining";
// Generation of the searcher's report; changes whenever the holdings change.
inline constexpr std::string_view kReportHeader = "Jujubecove-Report";
// Set on a 503 reply when the request was not executed; one of the reasons
// below.
inline constexpr std::string_view kNotRunHeader = "Jujubecove-Not-Run";

inline constexpr std::string_view kNotRunBusy = "busy";
inline constexpr std::string_view kNotRunDraining = "draining";
inline constexpr std::string_view kNotRunVersion = "version";
inline constexpr std::string_view kNotRunMap = "map";
inline constexpr std::string_view kNotRunCold = "cold";
inline constexpr std::string_view kNotRunDeadline = "deadline";

// A reply without a Content-Length, with a transfer encoding, or above these
// limits is rejected as kBadReply.
inline constexpr std::size_t kMaxReplyHeaderBytes = 16'384;
inline constexpr std::uint64_t kMaxReplyBodyBytes = 4'194'304;

}  // namespace jujubecove::wire
