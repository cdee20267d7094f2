#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/error_kind.h"
#include "base/ids.h"
#include "base/units.h"

namespace jujubecove {

// Outcome of one attempt at a searcher.
enum class AttemptOutcome : std::uint8_t {
  kOk,
  // The searcher refused the request before executing it.
  kRefusedBusy,
  kRefusedDraining,
  kRefusedVersion,
  kRefusedMap,
  kRefusedCold,
  kRefusedDeadline,
  // Not written: no connection within the daemon's share was available before
  // the deadline, or a queue was full.
  kNoConnection,
  kConnectFailed,
  // The connection was closed or reset after the request was written.
  kConnectionLost,
  // No byte arrived for the silence timeout.
  kSilent,
  kTimedOut,
  // The reply was malformed, truncated, oversized, or for another attempt.
  kBadReply,
  // The searcher replied with an error, or the request was not sent because a
  // header value is invalid.
  kFailed,
  kCancelled,
};

std::string_view NameOf(AttemptOutcome outcome);

// Request of one attempt at a searcher. All attempts of a query share the body.
struct UpstreamRequest {
  AttemptId attempt;
  RequestId request;
  SearcherId searcher;
  KindName kind;
  ShardId shard;
  ShardMapVersion map_version;
  // If set, the searcher must read exactly this version.
  std::optional<IndexVersion> index_version;
  TimePoint deadline;
  bool idempotent = true;
  std::string idempotency_key;
  std::string traceparent;
  std::shared_ptr<const std::string> body;
};

// Result of an attempt, with or without a reply from the searcher. `execution`
// is kNotRun only if the searcher refused the request before executing it, or
// if no byte of the request was written.
struct UpstreamReply {
  AttemptId attempt;
  SearcherId searcher;
  AttemptOutcome outcome = AttemptOutcome::kFailed;
  Execution execution = Execution::kUnknown;
  // What the searcher read, as stated in its reply; valid for kOk.
  ShardId shard;
  ShardMapVersion map_version;
  IndexVersion index_version;
  // Load stated in the reply, if any.
  std::optional<std::uint32_t> reported_in_flight;
  bool draining = false;
  // From writing the request to the end of the attempt.
  Duration latency{};
  std::string body;
};

// A searcher's report on itself. It may be outdated or wrong.
struct SearcherReport {
  SearcherId searcher;
  ServiceName service;
  // Shards and index versions that the searcher holds under one shard map.
  struct Holding {
    ShardMapVersion map_version;
    std::vector<ShardId> shards;
    std::vector<IndexVersion> index_versions;
  };
  std::vector<Holding> holdings;
  std::uint32_t slots = 1;
  std::uint32_t in_flight = 0;
  bool draining = false;
  bool healthy = true;
};

// Interface through which the query thread sends attempts to searchers. Each
// Send() is followed by exactly one reply with the same attempt id. The handler
// is never called from within Send().
class UpstreamTransport {
 public:
  using ReplyHandler = std::function<void(UpstreamReply)>;

  virtual ~UpstreamTransport() = default;

  // Must be set before the first Send().
  virtual void SetReplyHandler(ReplyHandler handler) = 0;
  virtual void Send(UpstreamRequest request) = 0;
  // Ends the attempt early. Its reply is still delivered, as kCancelled if the
  // attempt had not ended yet.
  virtual void Cancel(AttemptId attempt) = 0;
  // Whether the bounded queues can accept `count` more attempts.
  virtual bool HasCapacityFor(std::size_t count) const = 0;
};

}  // namespace jujubecove
