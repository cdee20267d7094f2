#include "quota/quota_node.h"

#include <utility>

namespace jujubecove {
namespace {

// Only until the first watch after the listing is answered.
constexpr Duration kRegistrationCheckInterval = std::chrono::milliseconds(200);
// Joins the changes of VMs that start or stop together.
constexpr Duration kStartDelay = std::chrono::milliseconds(200);
constexpr Duration kAnnounceInterval = std::chrono::seconds(1);
// In a larger zone the hold-off alone decides, since announcements grow with
// the square of the VMs that start together.
constexpr std::size_t kMaxAnnounced = 64;

}  // namespace

QuotaNode::QuotaNode(TimerService& timers,
                     const QuotaOptions& options,
                     DaemonEntry own,
                     QuotaTransport& transport,
                     QuotaMetrics& metrics,
                     OwnershipGuard::ViewConfirmed view_confirmed)
    : timers_(timers),
      own_(std::move(own)),
      transport_(transport),
      map_(own_.vm, own_.zone, own_.incarnation),
      guard_(timers, std::move(view_confirmed)),
      owner_(timers, options, map_, guard_),
      client_(timers, options, map_, owner_, transport, metrics) {}

void QuotaNode::SetTable(const RouteTablePtr& table) {
  owner_.SetTable(table);
  client_.SetTable(*table);
  StartBucketsSoon();
}

void QuotaNode::OnFleetChanged(const FleetDirectory& fleet) {
  map_.Update(fleet);
  if (!map_.is_registered())
    guard_.OnUnregistered();
  else if (guard_.is_registered())
    guard_.OnPeersChanged(map_.ZonePeers());
  else if (!listed_at_)
    CheckRegistration();
  owner_.OnOwnersChanged();
  StartBucketsSoon();
}

void QuotaNode::StartBucketsSoon() {
  if (starting_buckets_)
    return;
  starting_buckets_ = true;
  timers_.ScheduleAfter(kStartDelay, [this] {
    starting_buckets_ = false;
    owner_.StartBuckets();
  });
}

void QuotaNode::CheckRegistration() {
  if (!map_.is_registered() || guard_.is_registered()) {
    listed_at_.reset();
    return;
  }
  TimePoint confirmed = guard_.view_confirmed();
  if (!listed_at_ && confirmed == TimePoint::min())
    listed_at_ = timers_.NowWithSuspension();
  if (listed_at_ && confirmed <= *listed_at_) {
    timers_.ScheduleAfter(kRegistrationCheckInterval,
                          [this] { CheckRegistration(); });
    return;
  }
  listed_at_.reset();
  guard_.OnRegistered(map_.ZonePeers());
  owner_.OnOwnersChanged();
  StartBucketsSoon();
  timers_.ScheduleAfter(OwnershipGuard::kHoldOff,
                        [this] { StartBucketsSoon(); });
  Announce();
}

void QuotaNode::OnAnnounced(const DaemonEntry& entry) {
  map_.AddAnnounced(entry);
  owner_.OnOwnersChanged();
}

void QuotaNode::Announce() {
  const std::map<VmId, DaemonEntry>& peers = guard_.unacknowledged();
  if (announcing_ || peers.empty() || peers.size() > kMaxAnnounced ||
      guard_.IsHoldOffOver())
    return;
  announcing_ = true;
  for (const auto& [vm, entry] : peers) {
    transport_.Announce(entry, own_, [this, vm = vm](bool acknowledged) {
      if (!acknowledged)
        return;
      guard_.OnAcknowledged(vm);
      if (guard_.unacknowledged().empty())
        StartBucketsSoon();
    });
  }
  timers_.ScheduleAfter(kAnnounceInterval, [this] {
    announcing_ = false;
    Announce();
  });
}

}  // namespace jujubecove
