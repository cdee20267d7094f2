#pragma once

#include "gather/query.h"
#include "gather/query_run.h"

namespace jujubecove {

// Builds the answer to a query whose addressed shards are all covered or gaps,
// or that was refused before anything was sent. Moves the merged results and
// the coverage out of `run`.
QueryAnswer BuildAnswer(QueryRun& run);

}  // namespace jujubecove
