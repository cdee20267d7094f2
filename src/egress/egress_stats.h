#pragma once

#include <cstdint>

namespace jujubecove {

// Counters of the connections to searchers.
struct EgressStats {
  std::uint64_t connections_opened = 0;
  std::uint64_t connects_failed = 0;
  // Connections that were opened only to find out whether that is possible.
  std::uint64_t probes_sent = 0;
  std::uint64_t requests_sent = 0;
  std::uint64_t exchanges_broken = 0;
  std::uint64_t attempts_cancelled = 0;
};

}  // namespace jujubecove
