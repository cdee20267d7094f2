#pragma once

// The platform's names on the wire. Nothing outside this folder uses them.
namespace jujubecove::platform {

// Header fields. The caller's attempt, not the whole request, has this id.
inline constexpr char kRequestId[] = "Request-Id";
// What is left of the caller's deadline when the message is sent.
inline constexpr char kDeadlineMs[] = "Deadline-Ms";
// The searcher's proof that a reply is its own.
inline constexpr char kResponseStamp[] = "Response-Stamp";
inline constexpr char kExpectInstance[] = "Expect-Instance";
// "running,waiting,slots".
inline constexpr char kServerLoad[] = "Server-Load";
// Present when the searcher refused the request before running it.
inline constexpr char kNotExecuted[] = "Not-Executed";
inline constexpr char kRetryAfter[] = "Retry-After";
inline constexpr char kPartStamps[] = "Part-Stamps";
// Number of shards that a merged answer leaves out.
inline constexpr char kMissingParts[] = "Missing-Parts";

// Keys of the store.
inline constexpr char kConfigKey[] = "op/config";
inline constexpr char kSearcherPrefix[] = "servers/";
inline constexpr char kDaemonPrefix[] = "fronts/";

inline constexpr char kReadyPath[] = "/v1/ready";

}  // namespace jujubecove::platform
