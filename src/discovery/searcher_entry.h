#pragma once

#include <cstdint>
#include <string>

#include "base/ids.h"
#include "base/units.h"
#include "settings/socket_address.h"

namespace jujubecove {

// Identity of one searcher as it registers itself. A restart mostly draws a new
// one, and its address may pass to another searcher.
using InstanceId = StrongId<struct InstanceIdTag, std::string>;

enum class SearcherState : std::uint8_t { kReady, kDraining };

// What a searcher says of itself in its registration.
struct SearcherEntry {
  InstanceId id;
  ServiceName service;
  SocketAddress address;
  ZoneName zone;
  int slots = 1;
  SearcherState state = SearcherState::kReady;
  // How much longer the searcher is slow after its start.
  Duration warmup_left{};
  // Wall-clock milliseconds of the searcher's start; tells its incarnations
  // apart.
  std::int64_t started_ms = 0;
  // Heartbeat number within the incarnation.
  std::int64_t heartbeat = 0;
};

}  // namespace jujubecove
