#pragma once

#include <cstdint>

#include "base/random.h"
#include "base/units.h"
#include "gather/engine_options.h"
#include "shard/coverage.h"
#include "upstream/upstream_transport.h"

namespace jujubecove {

// Whether and how a failed attempt is retried.
struct RetryPolicy {
  // The cause of the gap if there is no retry.
  GapCause cause = GapCause::kFailed;
  // Retry on another replica without a backoff.
  bool immediate = false;
  // The retry is charged to the retry budget. Retries are free after refusals
  // that do not indicate overload and when nothing reached a searcher.
  bool uses_budget = true;
  // The replica cannot serve the query's map and version, not even after a
  // backoff.
  bool replica_unusable = false;
};

RetryPolicy RetryPolicyFor(AttemptOutcome outcome);
// For a reply from another shard, map or version than requested.
RetryPolicy RetryPolicyForWrongVersion();

// Returns the backoff after `backoff_count` earlier ones.
Duration JitteredBackoff(const EngineOptions& options,
                         std::uint32_t backoff_count,
                         RandomEngine& random);

}  // namespace jujubecove
