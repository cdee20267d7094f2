#pragma once

#include <string>
#include <string_view>

#include "base/ids.h"
#include "base/units.h"
#include "upstream/upstream_transport.h"

namespace jujubecove {

// Replaces `out` by the value of the attempt header:
// "<incarnation in hex>-<request>-<attempt>".
void FormatAttempt(IncarnationId incarnation,
                   RequestId request,
                   AttemptId attempt,
                   std::string& out);

// Whether every string of the request can stand in a header. A control
// character would let a caller add headers.
bool HasValidHeaderValues(const UpstreamRequest& request);

// Replaces `out` by the head of POST /v1/execute. The body follows it.
// `remaining` is the time left until the deadline.
void FormatExecuteHead(const UpstreamRequest& request,
                       std::string_view attempt,
                       Duration remaining,
                       std::string& out);

// Replaces `out` by the head of a GET without a body.
void FormatGet(std::string_view host, std::string_view path, std::string& out);

// Replaces `out` by the whole of POST /v1/cancel.
void FormatCancel(std::string_view host,
                  std::string_view attempt,
                  std::string& out);

}  // namespace jujubecove
