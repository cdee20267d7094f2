#pragma once

#include <string>
#include <string_view>

#include "base/ids.h"
#include "base/units.h"
#include "upstream/upstream_transport.h"

namespace jujubecove {

// Sets `out` to the value of the attempt header:
// "<incarnation in hex>-<request>-<attempt>".
void FormatAttempt(IncarnationId incarnation,
                   RequestId request,
                   AttemptId attempt,
                   std::string& out);

// Whether the strings of the request are valid header values. With a control
// character in one, a caller could add headers.
bool HasValidHeaderValues(const UpstreamRequest& request);

// Sets `out` to the head of POST /v1/execute. `remaining` is the time left
// until the deadline.
void FormatExecuteHead(const UpstreamRequest& request,
                       std::string_view attempt,
                       Duration remaining,
                       std::string& out);

// Sets `out` to a GET request.
void FormatGet(std::string_view host, std::string_view path, std::string& out);

// Sets `out` to a POST /v1/cancel request.
void FormatCancel(std::string_view host,
                  std::string_view attempt,
                  std::string& out);

}  // namespace jujubecove
