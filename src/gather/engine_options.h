#pragma once

#include <cstddef>
#include <cstdint>

#include "base/units.h"

namespace jujubecove {

// Limits and timings of the query engine.
struct EngineOptions {
  // Share of a query's deadline reserved for merging and rendering, and the
  // limits of this margin.
  double merge_margin_share = 0.02;
  Duration min_merge_margin{500};
  Duration max_merge_margin{5'000};
  // Maximum size of one query's merged results.
  std::size_t max_result_bytes = 8U << 20U;
  // Attempts per shard under one map and version, including hedges.
  std::uint32_t max_attempts = 6;
  // Backoffs per shard under one map and version.
  std::uint32_t max_backoff_count = 5;
  // Restarts of one query under another map or version.
  std::uint32_t max_restarts = 4;
  // How long other versions are preferred to one that some shard could not be
  // read at. By then the searchers have loaded or dropped that version.
  Duration suspect_duration{1'000'000};
  // Backoff n, counted from zero, is drawn from the upper half of
  // initial_backoff * 2^n, which is capped at max_backoff.
  Duration initial_backoff{2'000};
  Duration max_backoff{32'000};
  // Waiting shards are retried at this interval even without a reply, because a
  // report or the passage of time can also make a replica usable.
  Duration wait_sweep_interval{5'000};
};

}  // namespace jujubecove
