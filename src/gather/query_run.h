#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/units.h"
#include "document/document.h"
#include "gather/merger.h"
#include "gather/query.h"
#include "gather/trace_sink.h"
#include "gather/wait_list.h"
#include "kernel/timer_service.h"
#include "routing/router.h"
#include "shard/coverage.h"
#include "shard/shard_map.h"

namespace jujubecove {

enum class ShardPhase : std::uint8_t {
  // Needs an attempt.
  kPending,
  // In the wait list, because every replica is at its concurrency limit.
  kWaiting,
  // Becomes kPending when the backoff timer fires.
  kBackingOff,
  kInFlight,
  kCovered,
  kGap,
};

// The state of one addressed shard of a query.
struct ShardRun {
  ShardPhase phase = ShardPhase::kPending;
  // The attempts in flight: one and its hedge. AttemptId() marks a free entry.
  std::array<AttemptId, 2> in_flight{};
  std::uint32_t attempts = 0;
  std::uint32_t backoff_count = 0;
  // The next attempt must be charged to the retry budget.
  bool needs_retry_token = false;
  // The replica that failed last cannot serve the map and version.
  bool replica_unusable = false;
  // The latest attempt other than a hedge is a probe of an outlier.
  bool probing = false;
  // Whether a wait of the shard is already counted in QueryRun::refused.
  bool has_waited = false;
  // The cause to report if the shard becomes a gap now.
  GapCause cause = GapCause::kTimeout;
  TimePoint sent_at;
  // Earliest time of the next hedge after one could not be sent.
  TimePoint next_hedge_at;
  TimerId backoff_timer;
  WaitKey wait_key;
  std::vector<SearcherId> tried;

  bool settled() const {
    return phase == ShardPhase::kCovered || phase == ShardPhase::kGap;
  }
  std::size_t in_flight_count() const;
  void AddAttempt(AttemptId attempt);
  void RemoveAttempt(AttemptId attempt);
};

// State shared by the queries of one service.
struct ServiceQueryState {
  // A version that some shard could recently not be read at, or only slowly.
  struct SuspectVersion {
    SnapshotPin pin;
    TimePoint until;
  };

  ServiceName name;
  WaitList wait_list;
  std::vector<SuspectVersion> suspect_versions;
};

// The state of one query from its submission to its answer.
struct QueryRun {
  QueryRequest request;
  std::shared_ptr<const std::string> body;
  QueryEngine::AnswerHandler handler;
  std::shared_ptr<const Document> document;
  const KindSpec* spec = nullptr;
  ServiceQueryState* service = nullptr;
  // The caller's span context; its span id is zero for a new trace.
  SpanContext trace;
  // The traceparent header with the query's own span.
  std::string traceparent;
  SpanId query_span{};
  bool traced = false;
  TimePoint submitted_at;
  TimePoint admitted_at;
  // No attempt is sent after this time, and the query is answered by then.
  TimePoint cutoff;
  bool admitted = false;
  bool finished = false;
  bool abandoned = false;
  bool cutoff_passed = false;

  std::shared_ptr<const ShardMap> map;
  // Set for snapshot kinds.
  std::optional<IndexVersion> pinned_version;
  std::vector<SnapshotPin> previous_pins;
  std::uint32_t restarts = 0;
  std::uint32_t pin_backoff_count = 0;
  TimerId pin_timer;

  // The addressed shards: all shards of the map, or the one at `first_shard`.
  std::vector<ShardRun> shards;
  std::size_t first_shard = 0;
  std::size_t covered = 0;
  std::size_t unsettled = 0;
  Coverage coverage;
  std::unique_ptr<Merger> merger;
  // The version at which the last covered shard was read.
  std::optional<IndexVersion> read_version;
  bool versions_differ = false;

  // Some attempt was executed or may have been.
  bool may_have_run = false;
  std::uint32_t sent = 0;
  std::uint32_t refused = 0;
  std::optional<ErrorKind> error;
  std::string detail;
  TimerId cutoff_timer;
  TimerId hedge_timer;

  // Starts the query over under a map and, for snapshot kinds, an index
  // version.
  void Reset(std::shared_ptr<const ShardMap> new_map,
             std::optional<IndexVersion> version,
             std::size_t max_result_bytes);
  std::size_t MapIndex(std::size_t shard) const { return first_shard + shard; }
  const ShardId& IdOfShard(std::size_t shard) const {
    return map->shards()[MapIndex(shard)].id;
  }
  void SetCovered(std::size_t shard, IndexVersion version);
  void SetGap(std::size_t shard, GapCause cause);
  // The version that all covered shards were read at; nothing if they differ.
  std::optional<IndexVersion> CommonVersion() const;
};

using QueryRunPtr = std::shared_ptr<QueryRun>;

}  // namespace jujubecove
