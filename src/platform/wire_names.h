#pragma once

// Names in the platform's wire formats. In src/, only this folder uses them.
namespace jujubecove::platform {

// Header fields. The id identifies one attempt of the caller; a retry by the
// caller has a new one.
inline constexpr char kRequestId[] = "Request-Id";
// Time until the caller's deadline when the message is sent.
inline constexpr char kDeadlineMs[] = "Deadline-Ms";
// Token by which a searcher proves that it produced the reply.
inline constexpr char kResponseStamp[] = "Response-Stamp";
// Carries the API key of a caller, as "Token KEY".
inline constexpr char kAuthorization[] = "Authorization";
inline constexpr char kApiKeyScheme[] = "Token";
// Tells a searcher the workspace of a request. Only the tier sets it.
inline constexpr char kWorkspace[] = "Tenant";
inline constexpr char kExpectInstance[] = "Expect-Instance";
// Load of the searcher, as "running,waiting,slots".
inline constexpr char kServerLoad[] = "Server-Load";
// Present if the searcher rejected the request without running it.
inline constexpr char kNotExecuted[] = "Not-Executed";
// In an answer to a caller, when it may ask again. In a searcher's refusal, how
// long it wants no request from this VM.
inline constexpr char kRetryAfter[] = "Retry-After";
// Present in all replies of a searcher that is about to leave.
inline constexpr char kServerLeaving[] = "Server-Leaving";
// In all answers of the store: how often it has come back from an older copy.
inline constexpr char kStoreEra[] = "Store-Era";
inline constexpr char kPartStamps[] = "Part-Stamps";
// Number of shards missing from a merged answer.
inline constexpr char kMissingParts[] = "Missing-Parts";

// Keys and key prefixes in the store.
inline constexpr char kConfigKey[] = "op/config";
inline constexpr char kSearcherPrefix[] = "servers/";
inline constexpr char kDaemonPrefix[] = "fronts/";
// Followed by the name of an availability zone. Its searchers get no requests
// while the key exists.
inline constexpr char kEvacuationPrefix[] = "op/evacuate/";

inline constexpr char kReadyPath[] = "/v1/ready";

}  // namespace jujubecove::platform
