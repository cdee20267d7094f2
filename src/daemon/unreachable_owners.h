#pragma once

#include <utility>

#include "gather/ticket_forwarder.h"

namespace jujubecove {

// Entry daemons do not call each other, so a request whose ticket another one
// issued can't be taken to its owner, and its outcome stays unknown.
class UnreachableOwners : public TicketForwarder {
 public:
  void Forward(const TicketOwner&, QueryRequest, Handler handler) override {
    handler(std::nullopt);
  }
};

}  // namespace jujubecove
