#pragma once

#include <cstddef>
#include <cstdint>

#include "base/units.h"

namespace jujubecove::standin {

// Records sent through several entry daemons with losses, repeats, kills and
// pauses, on a fake clock.
struct AtMostOnceOptions {
  std::uint64_t seed = 1;
  std::size_t records = 100'000;
  std::size_t daemons = 4;
  // Between the first copies of two records.
  Duration interval{5'000};
  // Without tickets the daemons are a plain tier that retries, as the baseline.
  bool tickets = true;
};

struct AtMostOnceResult {
  std::size_t records = 0;
  // Copies that callers sent, and answers that reached them.
  std::size_t copies = 0;
  std::size_t answers = 0;
  // Records that took effect, and those that did so more than once.
  std::size_t effects = 0;
  std::size_t second_effects = 0;
  // Records of which "not run" was said although they took effect, at any time.
  std::size_t false_not_run = 0;
  // Records of which "ran" was said although they took no effect.
  std::size_t false_ran = 0;
  // By the most certain answer that reached the caller.
  std::size_t known_ran = 0;
  std::size_t known_not_run = 0;
  std::size_t unknown = 0;
  std::size_t kills = 0;
  std::size_t pauses = 0;
};

AtMostOnceResult SimulateAtMostOnce(const AtMostOnceOptions& options);

}  // namespace jujubecove::standin
