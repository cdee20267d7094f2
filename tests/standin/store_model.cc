#include "tests/standin/store_model.h"

#include <random>
#include <utility>

namespace jujubecove {

const StoreFaults& StoreModel::FaultsAt(TimePoint now) const {
  for (auto it = table_.rbegin(); it != table_.rend(); ++it) {
    if (it->from <= now && now < it->until)
      return it->faults;
  }
  return faults_;
}

bool StoreModel::Draw(double share) {
  return share > 0.0 &&
         std::uniform_real_distribution<double>(0.0, 1.0)(random_) < share;
}

CallPlan StoreModel::Plan(StoreCall call, TimePoint now) {
  ++counts_[static_cast<int>(call)];
  const StoreFaults& faults = FaultsAt(now);
  CallPlan plan;
  Duration latency = faults.latency;
  if (faults.jitter > Duration::zero()) {
    latency += Duration(std::uniform_int_distribution<std::int64_t>(
        0, faults.jitter.count())(random_));
  }
  plan.half_latency = latency / 2;
  lapse_next_lease_ = call == StoreCall::kLease && Draw(faults.lapsed_leases);
  if (faults.outage || Draw(faults.lost_requests))
    plan.fate = CallFate::kRequestLost;
  else if (Draw(faults.lost_replies))
    plan.fate = CallFate::kReplyLost;
  return plan;
}

std::uint64_t StoreModel::count(StoreCall call) const {
  return counts_[static_cast<int>(call)];
}

std::uint64_t StoreModel::total_count() const {
  std::uint64_t total = 0;
  for (std::uint64_t n : counts_)
    total += n;
  return total;
}

StoreReply StoreModel::Read(const std::string& key) const {
  auto it = values_.find(key);
  if (it == values_.end())
    return StoreReply{StoreStatus::kNotFound};
  return StoreReply{StoreStatus::kDone, it->second.revision, it->second.value};
}

StoreReply StoreModel::CompareAndSwap(const std::string& key,
                                      StoreRevision expected,
                                      std::string value) {
  auto it = values_.find(key);
  StoreRevision current =
      it == values_.end() ? StoreRevision() : it->second.revision;
  if (current != expected)
    return StoreReply{StoreStatus::kConflict, current};
  StoreRevision next(current.value() + 1);
  values_[key] = Value{next, std::move(value)};
  std::map<std::uint64_t, std::function<void(const std::string&)>> listeners =
      listeners_;
  for (const auto& [id, listener] : listeners)
    listener(key);
  return StoreReply{StoreStatus::kDone, next};
}

LeaseReply StoreModel::AcquireLease(const std::string& name,
                                    const std::string& holder,
                                    Duration time_to_live,
                                    TimePoint now) {
  Lease& lease = leases_[name];
  if (lease.expires > now && lease.holder != holder)
    return LeaseReply{StoreStatus::kConflict};
  if (lease.expires <= now || lease.holder != holder)
    lease.token = ++last_token_;
  lease.holder = holder;
  lease.expires = lapse_next_lease_ ? now : now + time_to_live;
  return LeaseReply{StoreStatus::kDone, lease.token, time_to_live};
}

std::optional<StoreReply> StoreModel::WatchNow(const std::string& key,
                                               StoreRevision after) const {
  StoreReply current = Read(key);
  if (current.revision <= after)
    return std::nullopt;
  if (current.revision.value() - after.value() > history_length_)
    return StoreReply{StoreStatus::kCompacted};
  return current;
}

std::uint64_t StoreModel::AddListener(
    std::function<void(const std::string&)> listener) {
  listeners_.emplace(++last_listener_, std::move(listener));
  return last_listener_;
}

void StoreModel::SetVms(std::vector<VmRecord> vms,
                        TimePoint now,
                        Duration lag) {
  pending_vms_.push_back(PendingVms{now + lag, std::move(vms)});
}

VmListReply StoreModel::Vms(VmListRevision known, TimePoint now) {
  while (!pending_vms_.empty() && pending_vms_.front().visible <= now) {
    vms_ = std::move(pending_vms_.front().vms);
    vms_revision_ = VmListRevision(vms_revision_.value() + 1);
    pending_vms_.pop_front();
  }
  if (known == vms_revision_ && known != VmListRevision())
    return VmListReply{StoreStatus::kNotFound, vms_revision_};
  return VmListReply{StoreStatus::kDone, vms_revision_, vms_};
}

}  // namespace jujubecove
