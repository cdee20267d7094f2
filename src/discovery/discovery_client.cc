#include "discovery/discovery_client.h"

#include <algorithm>
#include <utility>

namespace jujubecove {
namespace {

using std::chrono::milliseconds;

// Searchers whose registrations expired during an outage register again within
// about two seconds after it.
constexpr Duration kRemovalDelay = milliseconds(2300);
// Registrations expire after three missed heartbeats, which takes longer than
// this, so none expires in a shorter outage.
constexpr Duration kMaxHarmlessOutage = milliseconds(1500);
constexpr std::size_t kMaxLoggedFaults = 20;

}  // namespace

DiscoveryClient::DiscoveryClient(TimerService& timers,
                                 KvStore& store,
                                 const RegistrationCodec& codec,
                                 DecisionLog& log,
                                 const Options& options,
                                 Callbacks callbacks)
    : timers_(timers),
      codec_(codec),
      log_(log),
      callbacks_(std::move(callbacks)),
      searchers_(timers, callbacks_.searcher_changed),
      fleet_(
          timers,
          store,
          codec,
          options.own,
          [this](int size) {
            watcher_.set_fleet_size(size);
            callbacks_.fleet_size_changed(size);
          },
          [this](StoreEra era) { watcher_.OnEra(era); }),
      evacuations_([this](const ZoneName& zone, bool evacuated) {
        if (callbacks_.zone_evacuated)
          callbacks_.zone_evacuated(zone, evacuated);
      }),
      watcher_(timers, store, *this, "", options.watch_wait, options.seed) {}

void DiscoveryClient::Start() {
  watcher_.Start();
  fleet_.Join();
}

void DiscoveryClient::OnListingBegin() {
  searchers_.BeginListing();
  fleet_.BeginListing();
  evacuations_.BeginListing();
}

void DiscoveryClient::OnListingEnd() {
  searchers_.EndListing();
  fleet_.EndListing();
  evacuations_.EndListing();
  DecisionLine(log_, LogCategory::kStore, DecisionPriority::kStateChange,
               "store_listed", timers_.Now())
      .Add("searchers", searchers_.ready_count());
}

void DiscoveryClient::OnItem(const KvItem& item) {
  if (item.key == codec_.config_key()) {
    OnConfig(item);
  } else if (item.key.starts_with(codec_.searcher_prefix())) {
    OnSearcher(item);
  } else if (item.key.starts_with(codec_.daemon_prefix())) {
    fleet_.OnDaemonRegistration(
        item.key.substr(codec_.daemon_prefix().size()),
        item.removed ? std::nullopt : std::optional<std::string>(item.value));
  } else if (item.key.starts_with(codec_.evacuation_prefix())) {
    OnEvacuation(item);
  }
}

void DiscoveryClient::OnEvacuation(const KvItem& item) {
  ZoneName zone(item.key.substr(codec_.evacuation_prefix().size()));
  if (item.removed)
    evacuations_.Remove(zone);
  else
    evacuations_.Put(zone);
}

void DiscoveryClient::OnConfig(const KvItem& item) {
  if (item.removed)
    return;
  Result<ServingConfig> config = codec_.DecodeConfig(item.value);
  TimePoint now = timers_.Now();
  if (!config) {
    DecisionLine(log_, LogCategory::kConfig, DecisionPriority::kStateChange,
                 "config_refused", now)
        .Add("revision", item.revision.value())
        .Add("reason", config.error().detail);
    return;
  }
  ConfigVersion version = config.value().version;
  if (has_table_ && version <= config_version_)
    return;
  DecisionLine(log_, LogCategory::kConfig, DecisionPriority::kStateChange,
               "config_applied", now)
      .Add("version", version.value())
      .Add("previous", config_version_.value())
      .Add("revision", item.revision.value())
      .Add("routes", config.value().routes.size())
      .Add("workspaces", config.value().workspaces.size())
      .Add("faults", config.value().faults.size());
  LogFaults(config.value());
  config_version_ = version;
  has_table_ = true;
  table_since_ = now;
  callbacks_.table_changed(
      std::make_shared<const RouteTable>(std::move(config.value())));
}

void DiscoveryClient::LogFaults(const ServingConfig& config) {
  std::size_t count = std::min(config.faults.size(), kMaxLoggedFaults);
  for (std::size_t n = 0; n < count; ++n) {
    DecisionLine(log_, LogCategory::kConfig, DecisionPriority::kStateChange,
                 "config_fault", timers_.Now())
        .Add("version", config.version.value())
        .Add("reason", config.faults[n]);
  }
}

void DiscoveryClient::OnSearcher(const KvItem& item) {
  InstanceId id(item.key.substr(codec_.searcher_prefix().size()));
  if (item.removed) {
    searchers_.Remove(id);
    return;
  }
  Result<SearcherEntry> entry = codec_.DecodeSearcher(id, item.value);
  if (entry) {
    searchers_.Put(entry.value());
    return;
  }
  DecisionLine(log_, LogCategory::kMembership, DecisionPriority::kStateChange,
               "registration_refused", timers_.Now())
      .Add("searcher", id.value())
      .Add("reason", entry.error().detail);
  searchers_.Remove(id);
}

void DiscoveryClient::OnSearcherLeaving(const SearcherEntry& entry) {
  DecisionLine(log_, LogCategory::kMembership, DecisionPriority::kStateChange,
               "searcher_leaving", timers_.Now())
      .Add("searcher", entry.id.value())
      .Add("service", entry.service.value())
      .Add("reason", "its reply says so");
  searchers_.MarkLeaving(entry);
}

void DiscoveryClient::OnStoreDisconnected(const std::string& reason) {
  DecisionLine(log_, LogCategory::kStore, DecisionPriority::kStateChange,
               "store_lost", timers_.Now())
      .Add("reason", reason);
}

void DiscoveryClient::OnStoreReconnected(Duration outage) {
  DecisionLine(log_, LogCategory::kStore, DecisionPriority::kStateChange,
               "store_regained", timers_.Now())
      .Add("outage_ms", outage);
  if (callbacks_.store_regained)
    callbacks_.store_regained(outage);
  if (outage > kMaxHarmlessOutage)
    searchers_.DeferRemovalsUntil(timers_.Now() + kRemovalDelay);
}

// Searchers and operators write again what the copy lacks, as after an outage.
void DiscoveryClient::OnStoreRestored(StoreEra era) {
  DecisionLine(log_, LogCategory::kStore, DecisionPriority::kStateChange,
               "store_restored", timers_.Now())
      .Add("era", era.value());
  TimePoint until = timers_.Now() + kRemovalDelay;
  searchers_.DeferRemovalsUntil(until);
  searchers_.DeferReturnsUntil(until);
  fleet_.OnStoreRestored();
}

}  // namespace jujubecove
