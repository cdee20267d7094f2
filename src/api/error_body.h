#pragma once

#include <string>

#include "base/error_kind.h"
#include "gather/query_service.h"

namespace jujubecove {

// Renders an error as JSON, with the HTTP status of its kind.
RenderedAnswer RenderError(ErrorKind kind,
                           Execution execution,
                           const std::string& detail);

// Whether a rejected request carries an idempotency key. A request with a key
// may be a retry of one that ran, and one whose header was not read may carry a
// key. So only a request known to have no key can be reported as not run.
enum class TicketPresence { kNoTicket, kHasTicket, kHeaderNotRead };

Execution ExecutionOfRejection(ErrorKind kind, TicketPresence presence);

}  // namespace jujubecove
