#pragma once

#include <functional>
#include <optional>

#include "gather/query.h"
#include "gather/query_service.h"
#include "tickets/ticket_table.h"

namespace jujubecove {

// Forwards requests to the daemon that owns their ticket.
class TicketForwarder {
 public:
  // Receives nothing when the owner is unreachable, was replaced or did not
  // answer in time.
  using Handler = std::function<void(std::optional<RenderedAnswer>)>;

  virtual ~TicketForwarder() = default;

  // `handler` is called exactly once, possibly from within Forward. The
  // request must have a deadline. The owner's address comes from text that the
  // caller sent, so implementations must connect only to known daemons.
  virtual void Forward(const TicketOwner& owner,
                       QueryRequest request,
                       Handler handler) = 0;
};

}  // namespace jujubecove
