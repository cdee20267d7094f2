#pragma once

#include <cstdint>
#include <string>

#include "base/ids.h"
#include "base/units.h"
#include "settings/socket_address.h"

namespace jujubecove {

// Identity of a searcher, which it chooses itself. Usually it has a new one
// after a restart, and another searcher may get its address.
using InstanceId = StrongId<struct InstanceIdTag, std::string>;

enum class SearcherState : std::uint8_t { kReady, kDraining };

// A searcher's registration.
struct SearcherEntry {
  InstanceId id;
  ServiceName service;
  SocketAddress address;
  ZoneName zone;
  int slots = 1;
  SearcherState state = SearcherState::kReady;
  // Remaining time of the warm-up, during which the searcher is slower.
  Duration warmup_left{};
  // Wall-clock start time, which identifies the incarnation.
  std::int64_t started_ms = 0;
  // Heartbeat number within the incarnation.
  std::int64_t heartbeat = 0;
};

}  // namespace jujubecove
