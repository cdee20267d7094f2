#pragma once

#include "gather/query.h"
#include "gather/query_run.h"

namespace jujubecove {

// The answer to a query of which every addressed shard is covered or a gap, or
// that was refused before it was sent. Takes the merged results out of the run.
QueryAnswer BuildAnswer(QueryRun& run);

}  // namespace jujubecove
