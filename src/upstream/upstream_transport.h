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

// What became of one attempt at a searcher.
enum class AttemptOutcome : std::uint8_t {
  kOk,
  // Refused by the searcher before execution.
  kRefusedBusy,
  kRefusedDraining,
  kRefusedVersion,
  kRefusedMap,
  kRefusedCold,
  kRefusedDeadline,
  // No connection could be had within the daemon's share of the limit.
  kNoConnection,
  kConnectFailed,
  // The connection was lost, or made no progress, after bytes were written.
  kConnectionLost,
  kSilent,
  kTimedOut,
  // Malformed, truncated, oversized, or matching another attempt.
  kBadReply,
  // The searcher answered with an error of its own.
  kFailed,
  kCancelled,
};

std::string_view NameOf(AttemptOutcome outcome);

// One attempt at a searcher. The body is shared by all attempts of a query.
struct UpstreamRequest {
  AttemptId attempt;
  RequestId request;
  SearcherId searcher;
  KindName kind;
  ShardId shard;
  ShardMapVersion map_version;
  // Set when the searcher must read exactly this version.
  std::optional<IndexVersion> index_version;
  TimePoint deadline;
  bool idempotent = true;
  std::string idempotency_key;
  std::string traceparent;
  std::shared_ptr<const std::string> body;
};

// The one reply to an attempt. `execution` is kNotRun only when that is proven:
// the searcher refused before execution, or not one byte was written.
struct UpstreamReply {
  AttemptId attempt;
  SearcherId searcher;
  AttemptOutcome outcome = AttemptOutcome::kFailed;
  Execution execution = Execution::kUnknown;
  // What the searcher says it read; valid for kOk.
  ShardId shard;
  ShardMapVersion map_version;
  IndexVersion index_version;
  // Load that the searcher reports, when it does.
  std::optional<std::uint32_t> reported_in_flight;
  bool draining = false;
  // From sending to the last byte.
  Duration latency{};
  std::string body;
};

// What a searcher says of itself. It may lag or mislead.
struct SearcherReport {
  SearcherId searcher;
  ServiceName service;
  // Shards and index versions held under one map.
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

// Sends attempts to searchers, as the query thread sees it. Each Send is
// followed by exactly one reply with the same attempt id, never from within
// Send itself.
class UpstreamTransport {
 public:
  using ReplyHandler = std::function<void(UpstreamReply)>;

  virtual ~UpstreamTransport() = default;

  // Must be set before the first Send.
  virtual void SetReplyHandler(ReplyHandler handler) = 0;
  virtual void Send(UpstreamRequest request) = 0;
  // Asks for an early end. The reply still comes, as kCancelled if the attempt
  // had not ended.
  virtual void Cancel(AttemptId attempt) = 0;
  // Whether another fan-out of `count` attempts fits the bounded queues.
  virtual bool HasCapacityFor(std::size_t count) const = 0;
};

}  // namespace jujubecove
