#include "bench/simulated_fleet.h"

#include <algorithm>
#include <cmath>

namespace jujubecove {
namespace {

// Time on the network, both ways.
constexpr Duration kRoundTrip{1'000};
// Spread of the service time; its 99th percentile is 2.3 times the mean.
constexpr double kSigma = 0.4;
// Requests that a searcher lets wait for each slot before it refuses.
constexpr std::size_t kWaitingPerSlot = 4;

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
                        kSigma * kSigma / 2,
                    kSigma),
      searchers_(searchers) {}

void SimulatedFleet::Send(std::uint64_t attempt, std::size_t searcher) {
  Attempt& entry = attempts_[attempt];
  entry.searcher = searcher;
  entry.sent = timers_.Now();
  Machine& machine = searchers_[searcher];
  if (machine.running < slots_) {
    ++machine.running;
    Run(attempt);
  } else if (machine.waiting.size() < slots_ * kWaitingPerSlot) {
    machine.waiting.push_back(attempt);
  } else {
    entry.timer = timers_.ScheduleAfter(kRoundTrip, [this, attempt] {
      End(attempt, AttemptOutcome::kRefusedBusy);
    });
  }
}

void SimulatedFleet::Run(std::uint64_t attempt) {
  Attempt& entry = attempts_[attempt];
  entry.running = true;
  double micros = service_time_(random_) * searchers_[entry.searcher].factor;
  entry.timer = timers_.ScheduleAfter(
      kRoundTrip + Duration(static_cast<Duration::rep>(micros)),
      [this, attempt] { End(attempt, AttemptOutcome::kOk); });
}

void SimulatedFleet::End(std::uint64_t attempt, AttemptOutcome outcome) {
  auto it = attempts_.find(attempt);
  Attempt entry = it->second;
  attempts_.erase(it);
  Machine& machine = searchers_[entry.searcher];
  if (entry.running && !machine.waiting.empty()) {
    std::uint64_t next = machine.waiting.front();
    machine.waiting.pop_front();
    Run(next);
  } else if (entry.running) {
    --machine.running;
  }
  reply_(attempt, outcome, timers_.Now() - entry.sent,
         machine.running + static_cast<std::uint32_t>(machine.waiting.size()));
}

void SimulatedFleet::Cancel(std::uint64_t attempt) {
  auto it = attempts_.find(attempt);
  if (it == attempts_.end())
    return;
  timers_.Cancel(it->second.timer);
  std::erase(searchers_[it->second.searcher].waiting, attempt);
  // The reply never comes from within the call.
  it->second.timer = timers_.ScheduleAfter(Duration(0), [this, attempt] {
    End(attempt, AttemptOutcome::kCancelled);
  });
}

}  // namespace jujubecove
