#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/result.h"
#include "base/units.h"

namespace jujubecove {

// The daemon incarnation that issued a ticket.
struct TicketOwner {
  // "ip:port" of the owner's peer interface.
  std::string peer_address;
  IncarnationId incarnation;
};

// Outcome of a ticket's request, kept for duplicates of the request.
struct TicketOutcome {
  Execution execution = Execution::kUnknown;
  // The complete answer, returned unchanged to duplicates.
  std::string answer;
  int http_status = 0;
};

enum class TicketState : std::uint8_t {
  // The caller of Begin runs the request and must call Finish.
  kRun,
  // The same request is already running; the waiter gets its outcome.
  kJoined,
  // The request has finished; `outcome` is set.
  kFinished,
};

struct TicketBeginResult {
  TicketState state = TicketState::kRun;
  std::optional<TicketOutcome> outcome;
};

// Issues the tickets of this incarnation and tracks their requests. A ticket
// runs at most once, and "not run" is as final as any other outcome.
class TicketTable {
 public:
  using Waiter = std::function<void(const TicketOutcome&)>;

  virtual ~TicketTable() = default;

  virtual Result<std::vector<std::string>> Issue(std::size_t count) = 0;
  // Decodes the owner without verifying the ticket; fails for text that is not
  // a ticket.
  virtual Result<TicketOwner> OwnerOf(const std::string& ticket) const = 0;
  virtual bool Owns(const TicketOwner& owner) const = 0;
  // `fingerprint` covers the kind, the key and the body. Fails with
  // kTicketInvalid, kTicketMismatch, kTicketExpired, kOverloaded or
  // kOutcomeUnknown. `waiter` is kept only for kJoined.
  virtual Result<TicketBeginResult> Begin(const std::string& ticket,
                                          std::uint64_t fingerprint,
                                          Waiter waiter) = 0;
  virtual void Finish(const std::string& ticket, TicketOutcome outcome) = 0;
  virtual std::size_t size() const = 0;
};

}  // namespace jujubecove
