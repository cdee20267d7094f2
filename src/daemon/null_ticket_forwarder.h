#pragma once

#include <utility>

#include "gather/ticket_forwarder.h"

namespace jujubecove {

// Entry daemons do not call each other, so a request can't be forwarded to the
// daemon that issued its ticket, and its outcome stays unknown.
class NullTicketForwarder : public TicketForwarder {
 public:
  void Forward(const TicketOwner&, QueryRequest, Handler handler) override {
    handler(std::nullopt);
  }
};

}  // namespace jujubecove
