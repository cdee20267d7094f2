#include "discovery/fleet_membership.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "telemetry/log.h"

namespace jujubecove {
namespace {

using std::chrono::seconds;

// The longest lease that the store grants, so that renewals are rare. The share
// of a crashed daemon is unused for at most this time.
constexpr Duration kLeaseTtl = seconds(600);
constexpr Duration kRenewInterval = seconds(180);
constexpr Duration kRetryDelay = seconds(3);
// A shutdown of several seconds and one window of the retry budget.
constexpr Duration kCountedAfterRemoval = seconds(18);

}  // namespace

FleetMembership::FleetMembership(TimerService& timers,
                                 KvStore& store,
                                 const RegistrationCodec& codec,
                                 DaemonEntry own,
                                 SizeListener on_size,
                                 EraListener on_era)
    : timers_(timers),
      store_(store),
      codec_(codec),
      own_(std::move(own)),
      on_size_(std::move(on_size)),
      on_era_(std::move(on_era)) {}

void FleetMembership::Join() {
  joined_ = true;
  Register();
}

void FleetMembership::Register() {
  if (registering_ || !joined_)
    return;
  registering_ = true;
  if (lease_.value() != 0) {
    OnLease(KvLeaseResult{.status = KvStatus::kOk, .lease = lease_, .era = {}});
    return;
  }
  store_.GrantLease(kLeaseTtl, [this](KvLeaseResult lease) { OnLease(lease); });
}

void FleetMembership::NoteEra(StoreEra era) {
  if (on_era_)
    on_era_(era);
}

void FleetMembership::OnStoreRestored() {
  if (!joined_)
    return;
  lease_ = StoreLease{};
  register_again_ = registering_;
  Register();
}

void FleetMembership::OnLease(KvLeaseResult lease) {
  NoteEra(lease.era);
  if (lease.status != KvStatus::kOk || !joined_) {
    registering_ = false;
    register_again_ = false;
    RetryLater();
    return;
  }
  lease_ = lease.lease;
  store_.Put(codec_.daemon_prefix() + own_.vm.value(),
             codec_.EncodeDaemon(own_), lease_,
             [this](const KvWriteResult& write) { OnRegistered(write); });
}

void FleetMembership::OnRegistered(const KvWriteResult& write) {
  NoteEra(write.era);
  registering_ = false;
  if (write.status == KvStatus::kNotFound || register_again_)
    lease_ = StoreLease{};
  if (std::exchange(register_again_, false)) {
    Register();
    return;
  }
  if (write.status != KvStatus::kOk) {
    RetryLater();
    return;
  }
  if (!registered_)
    timers_.ScheduleAfter(kRenewInterval, [this] { Renew(); });
  registered_ = true;
}

void FleetMembership::Renew() {
  if (!joined_)
    return;
  store_.RenewLease(lease_,
                    [this](const KvLeaseResult& lease) { OnRenewed(lease); });
  timers_.ScheduleAfter(kRenewInterval, [this] { Renew(); });
}

void FleetMembership::OnRenewed(const KvLeaseResult& lease) {
  NoteEra(lease.era);
  if (lease.status == KvStatus::kNotFound && lease.lease == lease_) {
    JJ_LOG(kMembership, WARNING)
        << "the lease of this daemon has expired; registering again";
    lease_ = StoreLease{};
    Register();
  } else if (lease.status != KvStatus::kOk) {
    JJ_LOG(kMembership, WARNING) << "failed to renew the lease of this "
                                    "daemon; the next renewal is in time";
  }
}

void FleetMembership::RetryLater() {
  if (!joined_)
    return;
  JJ_LOG(kMembership, INFO) << "failed to register in the store; retrying";
  timers_.ScheduleAfter(kRetryDelay, [this] { Register(); });
}

void FleetMembership::Leave(std::function<void()> done) {
  joined_ = false;
  store_.Delete(codec_.daemon_prefix() + own_.vm.value(),
                [done = std::move(done)](const KvWriteResult&) { done(); });
}

void FleetMembership::OnDaemonRegistration(
    const std::string& id,
    const std::optional<std::string>& value) {
  if (value) {
    daemons_[id] = std::nullopt;
    UpdateDirectory(VmId(id), *value);
    if (listing_)
      listed_ids_.insert(id);
  } else {
    MarkGone(id);
  }
  if (!listing_)
    ReportSize();
}

void FleetMembership::UpdateDirectory(const VmId& vm,
                                      const std::string& value) {
  Result<DaemonEntry> entry = codec_.DecodeDaemon(vm, value);
  if (entry) {
    directory_.Put(entry.value());
    return;
  }
  JJ_LOG(kMembership, WARNING) << "the registration of daemon " << vm
                               << " is malformed: " << entry.error().detail;
  directory_.Remove(vm);
}

void FleetMembership::MarkGone(const std::string& id) {
  auto it = daemons_.find(id);
  if (it == daemons_.end() || it->second)
    return;
  it->second = timers_.Now();
  directory_.Remove(VmId(id));
  timers_.ScheduleAfter(kCountedAfterRemoval, [this] { EvictGone(); });
  // The store may remove a registration before its lease expires.
  if (id == own_.vm.value() && registered_ && !registering_) {
    lease_ = StoreLease{};
    Register();
  }
}

void FleetMembership::EvictGone() {
  TimePoint now = timers_.Now();
  std::erase_if(daemons_, [now](const auto& it) {
    return it.second && now - *it.second >= kCountedAfterRemoval;
  });
  ReportSize();
}

void FleetMembership::BeginListing() {
  listing_ = true;
  listed_ids_.clear();
}

void FleetMembership::EndListing() {
  listing_ = false;
  std::vector<std::string> missing;
  for (const auto& [id, gone_at] : daemons_) {
    if (!listed_ids_.contains(id))
      missing.push_back(id);
  }
  for (const std::string& id : missing)
    MarkGone(id);
  listed_ids_.clear();
  ReportSize();
}

void FleetMembership::ReportSize() {
  int self_count = daemons_.contains(own_.vm.value()) ? 0 : 1;
  int size = static_cast<int>(daemons_.size()) + self_count;
  if (size == reported_size_)
    return;
  reported_size_ = size;
  on_size_(size);
}

}  // namespace jujubecove
