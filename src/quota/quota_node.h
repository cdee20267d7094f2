#pragma once

#include <optional>

#include "quota/quota_client.h"

namespace jujubecove {

// The rate limits on one VM: the part that it grants as an owner and the tokens
// that it spends. Knows no network, so that tests run a whole fleet on a fake
// clock.
class QuotaNode {
 public:
  QuotaNode(TimerService& timers,
            const QuotaOptions& options,
            DaemonEntry own,
            QuotaTransport& transport,
            QuotaMetrics& metrics,
            OwnershipGuard::ViewConfirmed view_confirmed);

  void SetTable(const RouteTablePtr& table);
  void OnFleetChanged(const FleetDirectory& fleet);
  // Another VM of the zone has registered.
  void OnAnnounced(const DaemonEntry& entry);
  // Grants nothing from here on; requests are still decided on.
  void Stop() { owner_.Stop(); }

  QuotaClient& client() { return client_; }
  QuotaOwner& owner() { return owner_; }

 private:
  // Takes note that this process is registered once all VMs that registered
  // before it are known.
  void CheckRegistration();
  // Starts the buckets soon, together with those of the next changes.
  void StartBucketsSoon();
  // Announces this VM to those that have not acknowledged it, and repeats that.
  void Announce();

  TimerService& timers_;
  DaemonEntry own_;
  QuotaTransport& transport_;
  OwnerMap map_;
  OwnershipGuard guard_;
  QuotaOwner owner_;
  QuotaClient client_;
  bool announcing_ = false;
  bool starting_buckets_ = false;
  // When the own registration was read as a part of a listing, whose other
  // parts may be older.
  std::optional<TimePoint> listed_at_;
};

}  // namespace jujubecove
