#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/units.h"
#include "tickets/ticket_options.h"

namespace jujubecove {

// The decoded fields of a ticket.
struct TicketFields {
  TicketOwner owner;
  std::uint64_t sequence = 0;
  // Time of issue since the owner's table was created.
  Duration issue_offset{};
};

// A decoded ticket whose MAC is not verified yet.
struct DecodedTicket {
  TicketFields fields;
  // The bytes that the MAC covers.
  std::string payload;
  std::string mac;
};

// Encodes the fields and their HMAC-SHA256, truncated to 128 bits, as
// base64url.
std::string EncodeTicket(const TicketFields& fields,
                         const TicketSecret& secret);
// Returns nullopt for text that is not a well-formed ticket.
std::optional<DecodedTicket> DecodeTicket(std::string_view text);
// Verifies the MAC in constant time, so that it can't be guessed byte by byte.
bool IsAuthentic(const DecodedTicket& ticket, const TicketSecret& secret);

}  // namespace jujubecove
