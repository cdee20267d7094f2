#pragma once

#include <cstddef>
#include <cstdint>

#include "base/units.h"

namespace jujubecove::standin {

// Sends non-idempotent records through several entry daemons, with message
// loss, resends, kills and pauses, on a fake clock.
struct AtMostOnceOptions {
  std::uint64_t seed = 1;
  std::size_t records = 100'000;
  std::size_t daemons = 4;
  // Time between the first copies of two successive records.
  Duration interval{5'000};
  // Baseline without tickets: the daemons treat the records as idempotent and
  // retry them.
  bool tickets = true;
};

struct AtMostOnceResult {
  std::size_t records = 0;
  // Copies that callers sent, and answers that reached them.
  std::size_t copies = 0;
  std::size_t answers = 0;
  // Records that took effect, and those that took effect more than once.
  std::size_t effects = 0;
  std::size_t second_effects = 0;
  // Records that were answered as not run but took effect, before or after.
  std::size_t false_not_run = 0;
  // Records that were answered as run but took no effect.
  std::size_t false_ran = 0;
  // Records by the most definite answer that reached the caller.
  std::size_t known_ran = 0;
  std::size_t known_not_run = 0;
  std::size_t unknown = 0;
  std::size_t kills = 0;
  std::size_t pauses = 0;
};

AtMostOnceResult SimulateAtMostOnce(const AtMostOnceOptions& options);

}  // namespace jujubecove::standin
