#pragma once

#include <optional>

#include "base/ids.h"
#include "settings/socket_address.h"

namespace jujubecove {

// The registration of an entry daemon.
struct DaemonEntry {
  VmId vm;
  ZoneName zone;
  // Chosen at random at each start.
  IncarnationId incarnation;
  // Where it answers calls of other entry daemons, if it does.
  std::optional<SocketAddress> peer_address;
  // Where it takes over queries from other entry daemons, if it does.
  std::optional<SocketAddress> query_address;
  // Share of a processor core that its VM has, or 0 if unknown.
  double cpu_share = 0.0;
};

}  // namespace jujubecove
