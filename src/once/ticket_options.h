#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "base/ids.h"
#include "base/units.h"
#include "kernel/timer_service.h"
#include "once/ticket_table.h"

namespace jujubecove {

// Key of the message authentication codes of one incarnation's tickets.
using TicketSecret = std::array<std::uint8_t, 32>;

// A secret from the system's entropy, for real processes.
TicketSecret GenerateTicketSecret();

struct TicketOptions {
  // "ip:port" of this daemon's peer interface, at most 255 bytes.
  std::string peer_address;
  IncarnationId incarnation;
  TicketSecret secret{};
  // Counted from the issue of the ticket by the clock of its owner.
  Duration lifetime = std::chrono::minutes(10);
  // Used tickets that are kept with their outcomes.
  std::size_t capacity = 100'000;
  // Bytes of kept answers from which on no new ticket is begun.
  std::size_t answer_bytes = 64U << 20U;
  // Tickets refused because the table was full. Each keeps its refusal final
  // at the cost of a few words.
  std::size_t refused_capacity = 100'000;
  // Tickets of one call of Issue.
  std::size_t issue_limit = 1'000;
};

std::unique_ptr<TicketTable> MakeTicketTable(TimerService& timers,
                                             TicketOptions options);

}  // namespace jujubecove
