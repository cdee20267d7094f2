#include "quota/quota_owner.h"

#include <algorithm>
#include <cmath>

namespace jujubecove {
namespace {

// Tokens for expected requests are granted from this share of what is left, so
// that one VM does not take what others need at once.
constexpr double kAheadShare = 0.25;
// The longest time for which tokens are promised beyond the next one. VMs do
// not wait longer before they ask again.
constexpr Duration kMaxPromise = std::chrono::seconds(2);
// Told when no token is in sight.
constexpr Duration kNoTokenWait = std::chrono::seconds(1);

}  // namespace

void QuotaOwner::SetTable(RouteTablePtr table) {
  table_ = std::move(table);
  std::erase_if(parts_, [this](const auto& it) {
    const Workspace* workspace = table_->FindWorkspace(it.first);
    return workspace == nullptr || workspace->rate_per_second <= 0.0;
  });
}

void QuotaOwner::OnOwnersChanged() {
  for (auto& [name, part] : parts_)
    part.owned = part.owned && guard_.is_registered() && map_.IsOwner(name);
}

void QuotaOwner::StartBuckets() {
  if (!table_)
    return;
  for (const Workspace& it : table_->config().workspaces)
    Refresh(it.name);
}

double QuotaOwner::SafeShare(const QuotaLimit& bucket) const {
  if (guard_.IsConfirmed())
    return 1.0;
  Duration span = options_.window + options_.token_lifetime();
  double granted =
      bucket.rate_per_second * static_cast<double>(span.count()) / 1e6 +
      bucket.burst;
  return std::min(1.0, kUnconfirmedSlack * options_.slack / granted);
}

QuotaOwner::Part* QuotaOwner::Refresh(const WorkspaceName& name) {
  const Workspace* workspace = table_ ? table_->FindWorkspace(name) : nullptr;
  if (workspace == nullptr || workspace->rate_per_second <= 0.0)
    return nullptr;
  TimePoint now = timers_.Now();
  bool owned = !stopped_ && guard_.is_registered() && map_.IsOwner(name);
  auto it = parts_.find(name);
  if (!owned) {
    if (it != parts_.end())
      it->second.owned = false;
    return nullptr;
  }
  Part& part = it == parts_.end() ? parts_[name] : it->second;
  // What the former owner has granted meanwhile is not known here.
  if (!part.owned)
    part.bucket.Limit(0.0, now);
  QuotaLimit bucket =
      options_.BucketFor({workspace->rate_per_second, workspace->burst});
  double share = SafeShare(bucket) / map_.zone_count();
  part.bucket.Configure(bucket.rate_per_second * share, bucket.burst * share,
                        now);
  part.owned = true;
  return &part;
}

Duration QuotaOwner::PromiseNext(Part& part, const VmId& vm, int missing) {
  TimePoint now = timers_.Now();
  Duration first = part.bucket.TimeUntil(1.0, now);
  if (first == Duration::max())
    return kNoTokenWait;
  std::erase_if(part.promises,
                [now](const auto& it) { return it.second <= now; });
  auto it = part.promises.find(vm);
  if (it != part.promises.end())
    return std::max(it->second - now, first);
  TimePoint promised = std::max(now + first, part.promised_until);
  promised = std::min(promised, now + first + kMaxPromise);
  double seconds = missing / part.bucket.rate_per_second();
  part.promised_until =
      promised + std::min(Duration(static_cast<Duration::rep>(seconds * 1e6)),
                          kMaxPromise);
  part.promises[vm] = promised;
  return promised - now;
}

TokenGrant QuotaOwner::Grant(const TokenRequest& request) {
  Part* part = Refresh(request.workspace);
  if (part == nullptr)
    return {.owner = false};
  TimePoint now = timers_.Now();
  double level = std::max(part->bucket.Level(now), 0.0);
  TokenGrant grant;
  grant.granted = std::min(request.needed, static_cast<int>(std::floor(level)));
  double spare = (level - grant.granted) * kAheadShare;
  if (grant.granted == request.needed)
    grant.granted += std::min(request.ahead, static_cast<int>(spare));
  part->bucket.Take(grant.granted, now);
  if (grant.granted > 0)
    part->promises.erase(request.vm);
  part->granted += static_cast<std::uint64_t>(grant.granted);
  if (grant.granted < request.needed)
    grant.next = PromiseNext(*part, request.vm, request.needed - grant.granted);
  return grant;
}

QuotaOwner::PartState QuotaOwner::StateOf(const WorkspaceName& workspace) {
  Part* part = Refresh(workspace);
  if (part == nullptr)
    return {};
  return {true,
          guard_.IsConfirmed(),
          part->bucket.rate_per_second(),
          part->bucket.capacity(),
          part->bucket.Level(timers_.Now()),
          part->granted};
}

}  // namespace jujubecove
