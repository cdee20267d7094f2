#include "tickets/memory_ticket_table.h"

#include <cassert>

namespace jujubecove {

MemoryTicketTable::MemoryTicketTable(TimerService& timers,
                                     TicketOptions options)
    : timers_(timers), options_(std::move(options)), start_(timers.Now()) {
  assert(!options_.peer_address.empty() && options_.peer_address.size() < 256);
}

Result<std::vector<std::string>> MemoryTicketTable::Issue(std::size_t count) {
  if (count == 0 || count > options_.issue_limit) {
    return Error{
        ErrorKind::kBadRequest,
        "count must be between 1 and " + std::to_string(options_.issue_limit)};
  }
  std::vector<std::string> tickets;
  tickets.reserve(count);
  TicketFields fields{TicketOwner{options_.peer_address, options_.incarnation},
                      0, Elapsed()};
  for (std::size_t n = 0; n < count; ++n) {
    fields.sequence = next_sequence_++;
    tickets.push_back(EncodeTicket(fields, options_.secret));
  }
  return tickets;
}

Result<TicketOwner> MemoryTicketTable::OwnerOf(
    const std::string& ticket) const {
  std::optional<DecodedTicket> decoded = DecodeTicket(ticket);
  if (!decoded)
    return Error{ErrorKind::kTicketInvalid, "the text is not a ticket"};
  return decoded->fields.owner;
}

bool MemoryTicketTable::Owns(const TicketOwner& owner) const {
  return owner.incarnation == options_.incarnation &&
         owner.peer_address == options_.peer_address;
}

Result<TicketBeginResult> MemoryTicketTable::Begin(const std::string& ticket,
                                                   std::uint64_t fingerprint,
                                                   Waiter waiter) {
  std::optional<DecodedTicket> decoded = DecodeTicket(ticket);
  if (!decoded || !Owns(decoded->fields.owner) ||
      !IsAuthentic(*decoded, options_.secret))
    return Error{ErrorKind::kTicketInvalid, "not a ticket of this daemon"};
  Key key(decoded->fields.issue_offset, decoded->fields.sequence);
  DropExpired();
  if (Elapsed() - key.first >= options_.lifetime)
    return Error{ErrorKind::kTicketExpired, "the ticket has expired"};
  auto it = records_.find(key);
  if (it != records_.end())
    return BeginDuplicate(it->second, fingerprint, std::move(waiter));
  if (refused_tickets_.count(key) != 0)
    return Error{ErrorKind::kOverloaded, "the ticket was refused before"};
  if (IsFull())
    return RefuseWhenFull(key);
  records_[key].fingerprint = fingerprint;
  return TicketBeginResult{TicketState::kRun, std::nullopt};
}

// A refusal promises that the request will not run, so the ticket must stay
// refused even when there is room again. If the refusal can't be stored, the
// outcome is reported as unknown instead.
Error MemoryTicketTable::RefuseWhenFull(const Key& key) {
  if (refused_tickets_.size() >= options_.refused_capacity) {
    return Error{ErrorKind::kOutcomeUnknown,
                 "the ticket table is full; repeat with the same ticket"};
  }
  refused_tickets_.insert(key);
  return Error{ErrorKind::kOverloaded, "the ticket table is full"};
}

Result<TicketBeginResult> MemoryTicketTable::BeginDuplicate(
    Record& record,
    std::uint64_t fingerprint,
    Waiter waiter) {
  if (record.fingerprint != fingerprint) {
    return Error{ErrorKind::kTicketMismatch,
                 "the ticket was used for another request"};
  }
  if (record.outcome)
    return TicketBeginResult{TicketState::kFinished, record.outcome};
  record.waiters.push_back(std::move(waiter));
  return TicketBeginResult{TicketState::kJoined, std::nullopt};
}

void MemoryTicketTable::Finish(const std::string& ticket,
                               TicketOutcome outcome) {
  std::optional<DecodedTicket> decoded = DecodeTicket(ticket);
  if (!decoded)
    return;
  auto it = records_.find(
      Key(decoded->fields.issue_offset, decoded->fields.sequence));
  if (it == records_.end() || it->second.outcome)
    return;
  answer_bytes_ += outcome.answer.size();
  it->second.outcome = outcome;
  std::vector<Waiter> waiters = std::move(it->second.waiters);
  it->second.waiters.clear();
  // A waiter may cause the record to be dropped.
  for (Waiter& waiter : waiters) {
    if (waiter)
      waiter(outcome);
  }
}

bool MemoryTicketTable::IsFull() const {
  return records_.size() >= options_.capacity ||
         answer_bytes_ >= options_.answer_bytes;
}

void MemoryTicketTable::DropExpired() {
  Duration last_expired = Elapsed() - options_.lifetime;
  for (auto it = records_.begin();
       it != records_.end() && it->first.first <= last_expired;) {
    // A running request needs its record for Finish.
    if (!it->second.outcome) {
      ++it;
      continue;
    }
    answer_bytes_ -= it->second.outcome->answer.size();
    it = records_.erase(it);
  }
  while (!refused_tickets_.empty() &&
         refused_tickets_.begin()->first <= last_expired)
    refused_tickets_.erase(refused_tickets_.begin());
}

std::unique_ptr<TicketTable> MakeTicketTable(TimerService& timers,
                                             TicketOptions options) {
  return std::make_unique<MemoryTicketTable>(timers, std::move(options));
}

}  // namespace jujubecove
