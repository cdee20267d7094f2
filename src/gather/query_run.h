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
  // Wants an attempt.
  kIdle,
  // Every replica is at its limit; the shard is in the wait list.
  kWaiting,
  // A timer will make it kIdle.
  kDelayed,
  kInFlight,
  kCovered,
  kGap,
};

// One addressed shard of one query.
struct ShardRun {
  ShardPhase phase = ShardPhase::kIdle;
  // Attempts that have not ended; zero for none.
  std::array<AttemptId, 2> open{};
  std::uint32_t attempts = 0;
  std::uint32_t delays = 0;
  // The next attempt is a repeat that has to be paid from the budget.
  bool owes_token = false;
  // The last replica that failed is of no use under the map and version.
  bool lost_replica = false;
  // The first attempt went to an outlier that is tried again.
  bool probing = false;
  // Counted once for the feedback to admission.
  bool has_waited = false;
  // The cause if this ends as a gap now.
  GapCause cause = GapCause::kTimeout;
  TimePoint sent_at;
  // When a hedge may be tried again after one was not possible.
  TimePoint next_hedge;
  TimerId delay_timer;
  WaitKey wait_key;
  std::vector<SearcherId> tried;

  bool settled() const {
    return phase == ShardPhase::kCovered || phase == ShardPhase::kGap;
  }
  std::size_t open_count() const;
  void AddOpen(AttemptId attempt);
  void RemoveOpen(AttemptId attempt);
};

// What is shared by the queries of one service.
struct ServiceWaits {
  // A version that some shard could not be read at lately.
  struct Suspect {
    SnapshotPin pin;
    TimePoint until;
  };

  ServiceName name;
  WaitList waits;
  std::vector<Suspect> suspects;
};

// The state of one query from its submission to its answer.
struct QueryRun {
  QueryRequest request;
  std::shared_ptr<const std::string> body;
  QueryEngine::AnswerHandler handler;
  std::shared_ptr<const Document> document;
  const KindSpec* spec = nullptr;
  ServiceWaits* service = nullptr;
  // The caller's context; its span id is zero for a new trace.
  SpanContext trace;
  // The header value for the query's own span.
  std::string traceparent;
  SpanId query_span{};
  // Spans of this query go to the sink.
  bool traced = false;
  TimePoint submitted;
  TimePoint admitted_at;
  // No attempt is sent after it; the answer is made then at the latest.
  TimePoint cutoff;
  bool admitted = false;
  bool finished = false;
  bool abandoned = false;
  bool cutoff_passed = false;

  std::shared_ptr<const ShardMap> map;
  // Set for a kind that reads a snapshot.
  std::optional<IndexVersion> pinned;
  std::vector<SnapshotPin> abandoned_pins;
  std::uint32_t restarts = 0;
  std::uint32_t pin_delays = 0;
  TimerId pin_timer;

  // The addressed shards: all of the map, or the one at `first_shard`.
  std::vector<ShardRun> shards;
  std::size_t first_shard = 0;
  std::size_t covered = 0;
  std::size_t unsettled = 0;
  Coverage coverage;
  std::unique_ptr<Merger> merger;
  // The version that the covered shards read, while they agree.
  std::optional<IndexVersion> read_version;
  bool versions_differ = false;

  // Some attempt executed, or may have.
  bool may_have_run = false;
  std::uint32_t sent = 0;
  std::uint32_t refused = 0;
  std::optional<ErrorKind> error;
  std::string detail;
  TimerId cutoff_timer;
  TimerId hedge_timer;

  // Starts over under a map and, for a snapshot kind, an index version.
  void Reset(std::shared_ptr<const ShardMap> new_map,
             std::optional<IndexVersion> version,
             std::size_t max_result_bytes);
  std::size_t MapIndex(std::size_t shard) const { return first_shard + shard; }
  const ShardId& IdOfShard(std::size_t shard) const {
    return map->shards()[MapIndex(shard)].id;
  }
  void SetCovered(std::size_t shard, IndexVersion version);
  void SetGap(std::size_t shard, GapCause cause);
  // The version that every covered shard read.
  std::optional<IndexVersion> CommonVersion() const;
};

using QueryRunPtr = std::shared_ptr<QueryRun>;

}  // namespace jujubecove
