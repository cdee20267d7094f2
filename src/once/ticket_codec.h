#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/units.h"
#include "once/ticket_options.h"

namespace jujubecove {

// The content of a ticket's text.
struct TicketFields {
  TicketOwner owner;
  std::uint64_t sequence = 0;
  // Time of issue, counted from the start of the owner's table.
  Duration issued_after{};
};

// A decoded ticket whose authenticity is not known yet.
struct DecodedTicket {
  TicketFields fields;
  // The bytes that the code covers, and the code.
  std::string payload;
  std::string code;
};

// URL-safe text of the fields with an HMAC-SHA256 that is truncated to 128
// bits.
std::string EncodeTicket(const TicketFields& fields,
                         const TicketSecret& secret);
// Nothing for text that does not have the form of a ticket.
std::optional<DecodedTicket> DecodeTicket(std::string_view text);
// Compares in constant time, so that a code can't be guessed byte by byte.
bool IsAuthentic(const DecodedTicket& ticket, const TicketSecret& secret);

}  // namespace jujubecove
