#include "dispatch/repeat_budget.h"

#include <algorithm>

namespace jujubecove {
namespace {

// Part of the fleet's bound that the daemons plan to use. The rest covers
// daemons that were restarted within the window and started to count anew.
constexpr double kUsedShare = 0.85;
// Part of the budget that hedges leave to retries after a failure.
constexpr double kRetryReserve = 0.2;

}  // namespace

FleetRepeatBudget::FleetRepeatBudget(const RepeatBudgetOptions& options,
                                     TimePoint now)
    : options_(options) {
  Current(now);
}

FleetRepeatBudget::Slice& FleetRepeatBudget::Current(TimePoint now) {
  Duration length = options_.window / kSlices;
  std::int64_t number = now.time_since_epoch() / length;
  last_ = static_cast<std::size_t>(number) % slices_.size();
  if (slices_[last_].number != number)
    slices_[last_] = Slice{number, 0, 0};
  return slices_[last_];
}

void FleetRepeatBudget::CountRequest(TimePoint now) {
  ++Current(now).requests;
}

double FleetRepeatBudget::Allowed(double requests) const {
  return kUsedShare *
         (options_.ratio * requests + options_.slack / fleet_size_);
}

double FleetRepeatBudget::available(TimePoint now) {
  std::int64_t newest = Current(now).number;
  double requests = 0.0;
  double repeats = 0.0;
  for (const Slice& it : slices_) {
    if (it.number < 0 ||
        newest - it.number > static_cast<std::int64_t>(kSlices))
      continue;
    requests += it.requests;
    repeats += it.repeats;
  }
  return Allowed(requests) - repeats;
}

bool FleetRepeatBudget::TryTake(TimePoint now, double reserve_share) {
  double left = available(now);
  double reserve = reserve_share * options_.slack / fleet_size_;
  if (left < 1.0 + reserve)
    return false;
  ++Current(now).repeats;
  return true;
}

bool FleetRepeatBudget::TryTakeRetry(TimePoint now) {
  return TryTake(now, 0.0);
}

bool FleetRepeatBudget::TryTakeHedge(TimePoint now) {
  return TryTake(now, kRetryReserve);
}

void FleetRepeatBudget::Return() {
  if (slices_[last_].repeats > 0)
    --slices_[last_].repeats;
}

}  // namespace jujubecove
