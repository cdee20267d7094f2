#pragma once

#include <cstdint>
#include <string>

#include "base/strong_id.h"

namespace jujubecove {

// Name of a kind of request, as the operators' document declares it.
using KindName = StrongId<struct KindNameTag, std::string>;
// Name of a service of searchers, as the operators' document declares it.
using ServiceName = StrongId<struct ServiceNameTag, std::string>;
// Name of an availability zone.
using ZoneName = StrongId<struct ZoneNameTag, std::string>;
// Identity of a caller, used for fairness only.
using CallerName = StrongId<struct CallerNameTag, std::string>;
// Identity of a VM in the platform's list: an upstream or an entry daemon.
using VmId = StrongId<struct VmIdTag, std::string>;
// Identity of a searcher: its "ip:port", which is unique while it lives.
using SearcherId = StrongId<struct SearcherIdTag, std::string>;
// Name of a shard within one shard map.
using ShardId = StrongId<struct ShardIdTag, std::string>;
// Epoch of a shard map; a larger one is newer.
using ShardMapVersion = StrongId<struct ShardMapVersionTag, std::uint64_t>;
// Version of the index that a searcher reads; a larger one is newer.
using IndexVersion = StrongId<struct IndexVersionTag, std::uint64_t>;
// Version of the operators' document; totally ordered, zero means none.
using ConfigVersion = StrongId<struct ConfigVersionTag, std::uint64_t>;
// Number of a caller's request within one incarnation of an entry daemon.
using RequestId = StrongId<struct RequestIdTag, std::uint64_t>;
// Number of one attempt at a searcher within one incarnation of an entry
// daemon; never reused.
using AttemptId = StrongId<struct AttemptIdTag, std::uint64_t>;
// One life of an entry daemon process, drawn at random when it starts.
using IncarnationId = StrongId<struct IncarnationIdTag, std::uint64_t>;

}  // namespace jujubecove
