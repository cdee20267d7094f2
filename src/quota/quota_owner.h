#pragma once

#include <map>
#include <unordered_map>

#include "quota/owner_map.h"
#include "quota/ownership_guard.h"
#include "quota/quota_options.h"
#include "quota/token_bucket.h"
#include "route/route_table.h"

namespace jujubecove {

// What a VM asks an owner for.
struct TokenRequest {
  WorkspaceName workspace;
  // The VM that asks.
  VmId vm;
  // Requests that wait for a token.
  int needed = 0;
  // Tokens for requests that are expected while they are valid.
  int ahead = 0;
};

struct TokenGrant {
  int granted = 0;
  // Whether the VM that was asked is an owner of the workspace.
  bool owner = true;
  // When the next token is expected, for the VM that asked. Set if fewer were
  // granted than needed.
  Duration next{};
};

// Grants this VM's part of the tokens of the workspaces that it owns. It admits
// the load in which a workspace sends several times its limit to all VMs at
// once: what is granted is bounded by one bucket, and the VMs that are refused
// are told different times to ask again, one for each token that comes.
class QuotaOwner {
 public:
  QuotaOwner(TimerService& timers,
             const QuotaOptions& options,
             OwnerMap& map,
             OwnershipGuard& guard)
      : timers_(timers), options_(options), map_(map), guard_(guard) {}

  // A lowered limit binds from here on.
  void SetTable(RouteTablePtr table);
  // The VMs of the map have changed.
  void OnOwnersChanged();
  // Starts the buckets of all workspaces that this VM owns, so that they fill
  // before their first request. Takes a hash for each workspace and VM of the
  // zone.
  void StartBuckets();
  // Grants nothing from here on, because the process stops.
  void Stop() { stopped_ = true; }

  TokenGrant Grant(const TokenRequest& request);

  // The state of the part that this VM grants, for operators.
  struct PartState {
    bool owner = false;
    bool confirmed = false;
    double rate_per_second = 0.0;
    double capacity = 0.0;
    double level = 0.0;
    std::uint64_t granted = 0;
  };
  PartState StateOf(const WorkspaceName& workspace);

 private:
  struct Part {
    TokenBucket bucket;
    // When all tokens that were promised to VMs are there, and when the VMs
    // that have not got theirs yet were told to ask again.
    TimePoint promised_until{};
    std::map<VmId, TimePoint> promises;
    std::uint64_t granted = 0;
    // Whether this VM has owned the workspace since the bucket was started.
    bool owned = false;
  };

  // Returns null if this VM does not own the workspace.
  Part* Refresh(const WorkspaceName& workspace);
  // The share of the zone's part that may be granted now.
  double SafeShare(const QuotaLimit& bucket) const;
  Duration PromiseNext(Part& part, const VmId& vm, int missing);

  TimerService& timers_;
  QuotaOptions options_;
  OwnerMap& map_;
  OwnershipGuard& guard_;
  RouteTablePtr table_;
  bool stopped_ = false;
  std::unordered_map<WorkspaceName, Part> parts_;
};

}  // namespace jujubecove
