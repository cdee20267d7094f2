#pragma once

#include <cstdint>
#include <string>

#include "base/strong_id.h"

namespace jujubecove {

// Name of a kind of request that the operators' document declares.
using KindName = StrongId<struct KindNameTag, std::string>;
// Name of a service of searchers that the operators' document declares.
using ServiceName = StrongId<struct ServiceNameTag, std::string>;
// Name of an availability zone.
using ZoneName = StrongId<struct ZoneNameTag, std::string>;
// Name of a region, which contains availability zones.
using RegionName = StrongId<struct RegionNameTag, std::string>;
// Name of a workspace, on whose behalf callers send requests.
using WorkspaceName = StrongId<struct WorkspaceNameTag, std::string>;
// Identifies a caller, for fairness only.
using CallerName = StrongId<struct CallerNameTag, std::string>;
// Identifies a VM in the platform's list: an upstream or an entry daemon.
using VmId = StrongId<struct VmIdTag, std::string>;
// Identifies a searcher: its "ip:port", which is unique while it runs.
using SearcherId = StrongId<struct SearcherIdTag, std::string>;
// Name of a shard within one shard map.
using ShardId = StrongId<struct ShardIdTag, std::string>;
// Version of a shard map; larger is newer.
using ShardMapVersion = StrongId<struct ShardMapVersionTag, std::uint64_t>;
// Version of the index that a searcher reads; larger is newer.
using IndexVersion = StrongId<struct IndexVersionTag, std::uint64_t>;
// Version of the operators' document; totally ordered. Zero means none.
using ConfigVersion = StrongId<struct ConfigVersionTag, std::uint64_t>;
// Identifies a caller's request within one incarnation of an entry daemon.
using RequestId = StrongId<struct RequestIdTag, std::uint64_t>;
// Identifies an attempt within one incarnation of an entry daemon; never
// reused.
using AttemptId = StrongId<struct AttemptIdTag, std::uint64_t>;
// Identifies one run of an entry daemon process; chosen at random at startup.
using IncarnationId = StrongId<struct IncarnationIdTag, std::uint64_t>;

}  // namespace jujubecove
