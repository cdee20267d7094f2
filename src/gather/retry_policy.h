#pragma once

#include <cstdint>

#include "base/random.h"
#include "base/units.h"
#include "gather/engine_options.h"
#include "shard/coverage.h"
#include "upstream/upstream_transport.h"

namespace jujubecove {

// How a failed attempt is followed up.
struct RepeatRule {
  // The cause of the gap if no further attempt is made.
  GapCause cause = GapCause::kFailed;
  // Another replica may be asked at once, rather than after a back-off.
  bool at_once = false;
  // The repeat is paid from the budget. Repeats after a refusal that is no sign
  // of load, or after which nothing reached a searcher, are free.
  bool budgeted = true;
  // The replica is of no use to this query under its map and version, now or
  // after a back-off.
  bool lost_replica = false;
};

RepeatRule RuleFor(AttemptOutcome outcome);
// For a reply that was read under another shard, map or version.
RepeatRule RuleForOtherVersion();

// The jittered back-off before repeat number `delays`, counted from zero.
Duration BackOff(const EngineOptions& options,
                 std::uint32_t delays,
                 RandomEngine& random);

}  // namespace jujubecove
