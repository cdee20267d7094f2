#pragma once

#include <functional>
#include <optional>

#include "gather/query.h"
#include "gather/query_service.h"
#include "once/ticket_table.h"

namespace jujubecove {

// Takes a request to the daemon that owns its ticket.
class TicketForwarder {
 public:
  // Nothing when the owner's answer is not known: it is unreachable, was
  // replaced, or did not answer in time.
  using Handler = std::function<void(std::optional<RenderedAnswer>)>;

  virtual ~TicketForwarder() = default;

  // `handler` is called exactly once, possibly from within the call. The
  // request's deadline is set. The address comes from the caller's text, so an
  // implementation connects only to addresses of known daemons.
  virtual void Forward(const TicketOwner& owner,
                       QueryRequest request,
                       Handler handler) = 0;
};

}  // namespace jujubecove
