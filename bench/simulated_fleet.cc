#include "bench/simulated_fleet.h"

#include <algorithm>
#include <cmath>

namespace jujubecove {
namespace {

// Network round trip.
constexpr Duration kRoundTrip{1'000};
// Sigma of the log-normal service time: its 99th percentile is 2.3 times the
// mean.
constexpr double kServiceTimeSigma = 0.4;
// Queue length per slot; a searcher refuses requests beyond it.
constexpr std::size_t kMaxQueuedPerSlot = 4;

}  // namespace

SimulatedFleet::SimulatedFleet(TimerService& timers,
                               std::size_t searchers,
                               std::uint32_t slots,
                               Duration service_time,
                               std::uint64_t seed)
    : timers_(timers),
      random_(seed),
      slots_(slots),
      service_time_(std::log(static_cast<double>(service_time.count())) -
                        kServiceTimeSigma * kServiceTimeSigma / 2,
                    kServiceTimeSigma),
      searchers_(searchers) {}

void SimulatedFleet::Send(std::uint64_t attempt, std::size_t searcher) {
  Attempt& entry = attempts_[attempt];
  entry.searcher = searcher;
  entry.sent = timers_.Now();
  SearcherState& state = searchers_[searcher];
  if (state.running < slots_) {
    ++state.running;
    Execute(attempt);
  } else if (state.queue.size() < slots_ * kMaxQueuedPerSlot) {
    state.queue.push_back(attempt);
  } else {
    entry.timer = timers_.ScheduleAfter(kRoundTrip, [this, attempt] {
      Finish(attempt, AttemptOutcome::kRefusedBusy);
    });
  }
}

void SimulatedFleet::Execute(std::uint64_t attempt) {
  Attempt& entry = attempts_[attempt];
  entry.running = true;
  double service_us =
      service_time_(random_) * searchers_[entry.searcher].slowdown;
  entry.timer = timers_.ScheduleAfter(
      kRoundTrip + Duration(static_cast<Duration::rep>(service_us)),
      [this, attempt] { Finish(attempt, AttemptOutcome::kOk); });
}

void SimulatedFleet::Finish(std::uint64_t attempt, AttemptOutcome outcome) {
  auto it = attempts_.find(attempt);
  Attempt entry = it->second;
  attempts_.erase(it);
  SearcherState& state = searchers_[entry.searcher];
  if (entry.running && !state.queue.empty()) {
    std::uint64_t next = state.queue.front();
    state.queue.pop_front();
    Execute(next);
  } else if (entry.running) {
    --state.running;
  }
  reply_(attempt, outcome, timers_.Now() - entry.sent,
         state.running + static_cast<std::uint32_t>(state.queue.size()));
}

void SimulatedFleet::Cancel(std::uint64_t attempt) {
  auto it = attempts_.find(attempt);
  if (it == attempts_.end())
    return;
  timers_.Cancel(it->second.timer);
  std::erase(searchers_[it->second.searcher].queue, attempt);
  // The reply handler must not run within this call.
  it->second.timer = timers_.ScheduleAfter(Duration(0), [this, attempt] {
    Finish(attempt, AttemptOutcome::kCancelled);
  });
}

}  // namespace jujubecove
