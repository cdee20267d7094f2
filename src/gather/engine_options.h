#pragma once

#include <cstddef>
#include <cstdint>

#include "base/units.h"

namespace jujubecove {

// Bounds of the query engine.
struct EngineOptions {
  // Part of a query's time that is kept for merging and rendering, and its
  // bounds.
  double margin_share = 0.02;
  Duration least_margin{500};
  Duration most_margin{5'000};
  // Bytes of one query's merged results.
  std::size_t max_result_bytes = 8U << 20U;
  // Attempts of one shard under one map and version, with hedges.
  std::uint32_t max_attempts = 6;
  // Back-offs of one shard under one map and version.
  std::uint32_t max_delays = 5;
  // Times that a query starts again under another map or version.
  std::uint32_t max_restarts = 4;
  // Other versions are preferred to one that a shard could not be read at, for
  // this long. By then the searchers have taken up or dropped it.
  Duration suspicion{1'000'000};
  // The back-off before the n-th repeat is drawn from the upper half of
  // first_delay x 2^n, up to most_delay.
  Duration first_delay{2'000};
  Duration most_delay{32'000};
  // Waiting attempts are tried again this often even without a reply, because
  // a replica can also become usable by a report or by the passing of time.
  Duration wait_sweep{5'000};
};

}  // namespace jujubecove
