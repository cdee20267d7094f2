#include "gather/snapshot_policy.h"

#include <optional>
#include <vector>

namespace jujubecove {
namespace {

bool HasOpenAttempts(const QueryRun& run) {
  for (const ShardRun& shard : run.shards) {
    if (shard.open_count() != 0)
      return true;
  }
  return false;
}

SnapshotPin PinOf(const QueryRun& run) {
  return SnapshotPin{run.map, run.pinned.value_or(IndexVersion())};
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
  return run.spec->snapshot ? PinStatus::kNoVersion : PinStatus::kPinned;
}

std::optional<SnapshotPin> SnapshotPolicy::PickUnsuspected(
    ServiceWaits& service) {
  TimePoint now = context_.timers.Now();
  std::erase_if(service.suspects, [now](const ServiceWaits::Suspect& it) {
    return it.until <= now;
  });
  if (!service.suspects.empty()) {
    std::vector<SnapshotPin> avoid;
    for (const ServiceWaits::Suspect& it : service.suspects)
      avoid.push_back(it.pin);
    std::optional<SnapshotPin> pin =
        context_.router.PickSnapshot(service.name, avoid);
    if (pin)
      return pin;
  }
  return context_.router.PickSnapshot(service.name, {});
}

void SnapshotPolicy::Suspect(const QueryRun& run) {
  if (!run.pinned)
    return;
  SnapshotPin pin = PinOf(run);
  TimePoint until = context_.timers.Now() + context_.options.suspicion;
  for (ServiceWaits::Suspect& it : run.service->suspects) {
    if (it.pin.map->version() == pin.map->version() &&
        it.pin.index_version == pin.index_version) {
      it.until = until;
      return;
    }
  }
  run.service->suspects.push_back(ServiceWaits::Suspect{pin, until});
}

std::optional<SnapshotPin> SnapshotPolicy::FindOther(
    const QueryRun& run) const {
  const ServiceName& service = run.service->name;
  Duration needed = context_.router.EstimatedLatency(service);
  if (run.restarts >= context_.options.max_restarts ||
      context_.timers.Now() + needed >= run.cutoff)
    return std::nullopt;
  if (!run.spec->idempotent && (run.may_have_run || HasOpenAttempts(run)))
    return std::nullopt;
  if (run.spec->snapshot) {
    std::vector<SnapshotPin> avoid = run.abandoned_pins;
    avoid.push_back(PinOf(run));
    return context_.router.PickSnapshot(service, avoid);
  }
  std::shared_ptr<const ShardMap> map = context_.router.CurrentMap(service);
  if (!map || map->version() == run.map->version())
    return std::nullopt;
  return SnapshotPin{map, IndexVersion()};
}

void SnapshotPolicy::Restart(QueryRun& run, const SnapshotPin& pin) {
  run.abandoned_pins.push_back(PinOf(run));
  ++run.restarts;
  std::optional<IndexVersion> version;
  if (run.spec->snapshot)
    version = pin.index_version;
  run.Reset(pin.map, version, context_.options.max_result_bytes);
}

}  // namespace jujubecove
