#pragma once

#include <functional>
#include <memory>
#include <string>

#include "discovery/evacuation_registry.h"
#include "discovery/fleet_membership.h"
#include "discovery/registration_codec.h"
#include "discovery/searcher_registry.h"
#include "discovery/store_watcher.h"
#include "route/route_table.h"
#include "telemetry/decision_log.h"

namespace jujubecove {

// Follows the configuration, the searchers and the entry daemons in the store,
// and registers this daemon there.
class DiscoveryClient : public StoreWatchListener {
 public:
  struct Callbacks {
    std::function<void(RouteTablePtr)> table_changed;
    SearcherRegistry::Listener searcher_changed;
    FleetMembership::SizeListener fleet_size_changed;
    // The evacuation of an availability zone began or ended. May be empty.
    EvacuationRegistry::Listener zone_evacuated{};
    // The store serves again after an outage. May be empty.
    std::function<void(Duration)> store_regained;
  };
  struct Options {
    DaemonEntry own;
    Duration watch_wait{};
    std::uint64_t seed = 0;
  };

  DiscoveryClient(TimerService& timers,
                  KvStore& store,
                  const RegistrationCodec& codec,
                  DecisionLog& log,
                  const Options& options,
                  Callbacks callbacks);

  void Start();
  void Leave(std::function<void()> done) { fleet_.Leave(std::move(done)); }
  // A searcher said in a reply that it is leaving.
  void OnSearcherLeaving(const SearcherEntry& entry);
  // Whether a configuration and a listing of the searchers have been received.
  bool IsSynced() const { return has_table_ && watcher_.is_listed(); }
  // See StoreWatcher::confirmed_at().
  TimePoint view_confirmed_at() const { return watcher_.confirmed_at(); }
  bool IsStoreConnected() const { return watcher_.is_connected(); }
  FleetDirectory& fleet() { return fleet_.directory(); }

  // When the current configuration was applied.
  TimePoint table_applied_at() const { return table_since_; }
  const StoreCallStats& store_calls() const { return watcher_.calls(); }

  void OnListingBegin() override;
  void OnListingEnd() override;
  void OnItem(const KvItem& item) override;
  void OnStoreDisconnected(const std::string& reason) override;
  void OnStoreReconnected(Duration outage) override;
  void OnStoreRestored(StoreEra era) override;

 private:
  void OnConfig(const KvItem& item);
  void LogFaults(const ServingConfig& config);
  void OnSearcher(const KvItem& item);
  void OnEvacuation(const KvItem& item);

  TimerService& timers_;
  const RegistrationCodec& codec_;
  DecisionLog& log_;
  Callbacks callbacks_;
  SearcherRegistry searchers_;
  FleetMembership fleet_;
  EvacuationRegistry evacuations_;
  StoreWatcher watcher_;
  ConfigVersion config_version_;
  bool has_table_ = false;
  TimePoint table_since_{};
};

}  // namespace jujubecove
