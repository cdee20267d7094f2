#include "gather/snapshot_policy.h"

#include <optional>
#include <vector>

namespace jujubecove {
namespace {

bool HasAttemptsInFlight(const QueryRun& run) {
  for (const ShardRun& shard : run.shards) {
    if (shard.in_flight_count() != 0)
      return true;
  }
  return false;
}

SnapshotPin PinOf(const QueryRun& run) {
  return SnapshotPin{run.map, run.pinned_version.value_or(IndexVersion())};
}

}  // namespace

SnapshotPolicy::SnapshotPolicy(GatherContext& context) : context_(context) {}

PinStatus SnapshotPolicy::Pin(QueryRun& run) {
  std::size_t max_bytes = context_.options.max_result_bytes;
  if (run.spec->snapshot) {
    std::optional<SnapshotPin> pin = PickUnsuspected(*run.service);
    if (pin) {
      run.Reset(pin->map, pin->index_version, max_bytes);
      return PinStatus::kPinned;
    }
  }
  std::shared_ptr<const ShardMap> map =
      context_.router.CurrentMap(run.service->name);
  if (!map)
    return PinStatus::kNoMap;
  run.Reset(map, std::nullopt, max_bytes);
  return run.spec->snapshot ? PinStatus::kNoCommonVersion : PinStatus::kPinned;
}

std::optional<SnapshotPin> SnapshotPolicy::PickUnsuspected(
    ServiceQueryState& service) {
  TimePoint now = context_.timers.Now();
  std::erase_if(service.suspect_versions,
                [now](const ServiceQueryState::SuspectVersion& it) {
                  return it.until <= now;
                });
  if (!service.suspect_versions.empty()) {
    std::vector<SnapshotPin> avoid;
    for (const ServiceQueryState::SuspectVersion& it : service.suspect_versions)
      avoid.push_back(it.pin);
    std::optional<SnapshotPin> pin =
        context_.router.PickSnapshot(service.name, avoid);
    if (pin)
      return pin;
  }
  return context_.router.PickSnapshot(service.name, {});
}

void SnapshotPolicy::SuspectVersion(const QueryRun& run) {
  if (!run.pinned_version)
    return;
  SnapshotPin pin = PinOf(run);
  TimePoint until = context_.timers.Now() + context_.options.suspect_duration;
  for (ServiceQueryState::SuspectVersion& it : run.service->suspect_versions) {
    if (it.pin.map->version() == pin.map->version() &&
        it.pin.index_version == pin.index_version) {
      it.until = until;
      return;
    }
  }
  run.service->suspect_versions.push_back(
      ServiceQueryState::SuspectVersion{pin, until});
}

std::optional<SnapshotPin> SnapshotPolicy::FindAlternative(
    const QueryRun& run) const {
  const ServiceName& service = run.service->name;
  Duration needed = context_.router.EstimatedLatency(service);
  if (run.restarts >= context_.options.max_restarts ||
      context_.timers.Now() + needed >= run.cutoff)
    return std::nullopt;
  if (!run.spec->idempotent && (run.may_have_run || HasAttemptsInFlight(run)))
    return std::nullopt;
  if (run.spec->snapshot) {
    std::vector<SnapshotPin> avoid = run.previous_pins;
    avoid.push_back(PinOf(run));
    return context_.router.PickSnapshot(service, avoid);
  }
  std::shared_ptr<const ShardMap> map = context_.router.CurrentMap(service);
  if (!map || map->version() == run.map->version())
    return std::nullopt;
  return SnapshotPin{map, IndexVersion()};
}

void SnapshotPolicy::Restart(QueryRun& run, const SnapshotPin& pin) {
  run.previous_pins.push_back(PinOf(run));
  ++run.restarts;
  std::optional<IndexVersion> version;
  if (run.spec->snapshot)
    version = pin.index_version;
  run.Reset(pin.map, version, context_.options.max_result_bytes);
}

}  // namespace jujubecove
