#pragma once

#include <string>

#include "base/error_kind.h"
#include "gather/query_service.h"

namespace jujubecove {

// The JSON answer of an error, with the HTTP status of its kind.
RenderedAnswer RenderError(ErrorKind kind,
                           Execution execution,
                           const std::string& detail);

// What can be said of a request that the frontend refuses. A request with an
// idempotency key may be a repeat of one that ran, and one whose header was not
// read may carry a key, so only a request that is known to have none did not
// run.
enum class TicketKnowledge { kNoTicket, kHasTicket, kHeaderNotRead };

Execution ExecutionOfRefusal(ErrorKind kind, TicketKnowledge knowledge);

}  // namespace jujubecove
