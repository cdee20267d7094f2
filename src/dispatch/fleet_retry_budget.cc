#include "dispatch/fleet_retry_budget.h"

#include <algorithm>

namespace jujubecove {
namespace {

// Share of the fleet's limit that daemons use. The rest covers daemons that
// were restarted within the window, which lose their counts, and daemons that
// do not know the fleet size yet.
constexpr double kBudgetUtilization = 0.85;
// A daemon may spend its budget at once and then end; its successor starts with
// empty counts and would spend the budget of the same window again. Therefore
// at most these shares are spent within a quarter of the window.
constexpr std::int64_t kBurstSlices = 5;
constexpr double kBurstShareOfRatio = 0.25;
constexpr double kBurstShareOfSlack = 0.9;
// Share of the slack that hedges leave to retries.
constexpr double kRetryReserveShare = 0.2;

}  // namespace

FleetRetryBudget::FleetRetryBudget(const RetryBudgetOptions& options,
                                   TimePoint process_start)
    : options_(options), process_start_(process_start) {}

FleetRetryBudget::Slice& FleetRetryBudget::CurrentSlice(TimePoint now) {
  Duration length = options_.window / kSlicesPerWindow;
  std::int64_t number = now.time_since_epoch() / length;
  current_index_ = static_cast<std::size_t>(number) % slices_.size();
  if (slices_[current_index_].number != number)
    slices_[current_index_] = Slice{number, 0, 0};
  return slices_[current_index_];
}

void FleetRetryBudget::CountRequest(TimePoint now) {
  ++CurrentSlice(now).requests;
}

// It is unknown what a previous process on this VM has spent, so the share
// grows from zero over the first window.
double FleetRetryBudget::SlackShare(TimePoint now) const {
  double age = ToMilliseconds(now - process_start_);
  double elapsed_share =
      std::clamp(age / ToMilliseconds(options_.window), 0.0, 1.0);
  return elapsed_share * options_.slack / fleet_size_;
}

FleetRetryBudget::WindowUsage FleetRetryBudget::UsageAt(TimePoint now) {
  std::int64_t newest = CurrentSlice(now).number;
  WindowUsage usage;
  for (const Slice& it : slices_) {
    std::int64_t age = newest - it.number;
    if (it.number < 0 || age > static_cast<std::int64_t>(kSlicesPerWindow))
      continue;
    usage.requests += it.requests;
    usage.extra_attempts += it.extra_attempts;
    if (age < kBurstSlices)
      usage.recent_extra_attempts += it.extra_attempts;
  }
  return usage;
}

double FleetRetryBudget::available(TimePoint now) {
  WindowUsage usage = UsageAt(now);
  double from_ratio = kBudgetUtilization * options_.ratio * usage.requests;
  double slack = kBudgetUtilization * SlackShare(now);
  double burst = kBurstShareOfRatio * from_ratio + kBurstShareOfSlack * slack;
  return std::min(from_ratio + slack - usage.extra_attempts,
                  burst - usage.recent_extra_attempts);
}

bool FleetRetryBudget::TryTake(TimePoint now, double reserve_share) {
  double left = available(now);
  double reserve = reserve_share * SlackShare(now);
  if (left < 1.0 + reserve)
    return false;
  ++CurrentSlice(now).extra_attempts;
  return true;
}

bool FleetRetryBudget::TryTakeRetry(TimePoint now) {
  return TryTake(now, 0.0);
}

bool FleetRetryBudget::TryTakeHedge(TimePoint now) {
  return TryTake(now, kRetryReserveShare);
}

void FleetRetryBudget::Refund() {
  if (slices_[current_index_].extra_attempts > 0)
    --slices_[current_index_].extra_attempts;
}

}  // namespace jujubecove
