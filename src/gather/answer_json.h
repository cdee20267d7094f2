#pragma once

#include <string>
#include <string_view>

#include "base/error_kind.h"
#include "gather/query.h"
#include "gather/query_service.h"

namespace jujubecove {

// The JSON form of an answer, as docs/interfaces.md describes it. `coverage` is
// absent while no shard map is known.
RenderedAnswer RenderAnswer(const QueryAnswer& answer);

// A refusal issued without submitting the request to the query engine.
RenderedAnswer RenderRefusal(ErrorKind error,
                             Execution execution,
                             std::string_view detail);
// A refusal by code that cannot tell whether the request ran on another daemon.
// With an idempotency key, "not run" becomes kOutcomeUnknown, because only the
// owner of the ticket can confirm "not run".
RenderedAnswer RenderUnprovenRefusal(ErrorKind error,
                                     const std::string& idempotency_key,
                                     std::string_view detail);

// Appends `text` as a JSON string with its quotes.
void AppendJsonString(std::string& out, std::string_view text);

}  // namespace jujubecove
