#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "base/ids.h"
#include "base/units.h"
#include "kernel/timer_service.h"
#include "tickets/ticket_table.h"

namespace jujubecove {

// HMAC key for the tickets of one incarnation.
using TicketSecret = std::array<std::uint8_t, 32>;

// Generates a random secret from the system's entropy.
TicketSecret GenerateTicketSecret();

struct TicketOptions {
  // "ip:port" of this daemon's peer interface, at most 255 bytes.
  std::string peer_address;
  IncarnationId incarnation;
  TicketSecret secret{};
  // From the time of issue, by the owner's clock.
  Duration lifetime = std::chrono::minutes(10);
  // Maximum number of used tickets kept with their outcomes.
  std::size_t capacity = 100'000;
  // No new ticket is begun while kept answers take this many bytes.
  std::size_t answer_bytes = 64U << 20U;
  // Maximum number of tickets remembered as refused because the table was full.
  // Each takes only a few words.
  std::size_t refused_capacity = 100'000;
  // Maximum number of tickets per call of Issue.
  std::size_t issue_limit = 1'000;
};

std::unique_ptr<TicketTable> MakeTicketTable(TimerService& timers,
                                             TicketOptions options);

}  // namespace jujubecove
