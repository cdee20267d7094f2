#include "dispatch/fleet_retry_budget.h"

#include <algorithm>

namespace jujubecove {
namespace {

// Part of the fleet's bound that the daemons plan to use. The rest covers
// daemons that were restarted within the window and started to count anew, and
// daemons that do not know the fleet's size yet.
constexpr double kUsedShare = 0.85;
// A daemon that ends may have spent its budget in a moment, and its successor,
// which starts to count anew, would spend the budget of the same window again.
// So within a quarter of the window at most a quarter of what the requests
// allow is spent, and this part of the slack.
constexpr std::int64_t kBurstSlices = 5;
constexpr double kBurstShareOfRatio = 0.25;
constexpr double kBurstShareOfSlack = 0.9;
// Part of the budget that hedges leave to retries after a failure.
constexpr double kRetryReserve = 0.2;

}  // namespace

FleetRetryBudget::FleetRetryBudget(const RetryBudgetOptions& options,
                                   TimePoint process_start)
    : options_(options), process_start_(process_start) {}

FleetRetryBudget::Slice& FleetRetryBudget::Current(TimePoint now) {
  Duration length = options_.window / kSlices;
  std::int64_t number = now.time_since_epoch() / length;
  last_ = static_cast<std::size_t>(number) % slices_.size();
  if (slices_[last_].number != number)
    slices_[last_] = Slice{number, 0, 0};
  return slices_[last_];
}

void FleetRetryBudget::CountRequest(TimePoint now) {
  ++Current(now).requests;
}

// What an earlier process on this VM spent is not known, so its share of the
// slack becomes available again only as the window passes.
double FleetRetryBudget::SlackShare(TimePoint now) const {
  double age = ToMilliseconds(now - process_start_);
  double passed = std::clamp(age / ToMilliseconds(options_.window), 0.0, 1.0);
  return passed * options_.slack / fleet_size_;
}

FleetRetryBudget::Spent FleetRetryBudget::SpentBy(TimePoint now) {
  std::int64_t newest = Current(now).number;
  Spent spent;
  for (const Slice& it : slices_) {
    std::int64_t age = newest - it.number;
    if (it.number < 0 || age > static_cast<std::int64_t>(kSlices))
      continue;
    spent.requests += it.requests;
    spent.repeats += it.repeats;
    if (age < kBurstSlices)
      spent.latest_repeats += it.repeats;
  }
  return spent;
}

double FleetRetryBudget::available(TimePoint now) {
  Spent spent = SpentBy(now);
  double for_requests = kUsedShare * options_.ratio * spent.requests;
  double slack = kUsedShare * SlackShare(now);
  double burst = kBurstShareOfRatio * for_requests + kBurstShareOfSlack * slack;
  return std::min(for_requests + slack - spent.repeats,
                  burst - spent.latest_repeats);
}

bool FleetRetryBudget::TryTake(TimePoint now, double reserve_share) {
  double left = available(now);
  double reserve = reserve_share * SlackShare(now);
  if (left < 1.0 + reserve)
    return false;
  ++Current(now).repeats;
  return true;
}

bool FleetRetryBudget::TryTakeRetry(TimePoint now) {
  return TryTake(now, 0.0);
}

bool FleetRetryBudget::TryTakeHedge(TimePoint now) {
  return TryTake(now, kRetryReserve);
}

void FleetRetryBudget::Return() {
  if (slices_[last_].repeats > 0)
    --slices_[last_].repeats;
}

}  // namespace jujubecove
