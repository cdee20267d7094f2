#include "handover/run_times.h"

#include <algorithm>
#include <cmath>

namespace jujubecove {
namespace {

// A new observation has at least this weight. Older ones lose their weight with
// this time constant, so that a VM with one query a second follows its load as
// fast as one with many.
constexpr double kMinRecentWeight = 0.1;
constexpr Duration kMemory = std::chrono::seconds(4);
// The time constant of the usual time, which the first observations form
// equally. Runs that end at the same moment, after the VM was frozen, have one
// cause and count as one, and none counts for more than this interval.
constexpr Duration kUsualMemory = std::chrono::seconds(20);
constexpr Duration kMaxInterval = std::chrono::seconds(1);
// An observation is recent for this time.
constexpr Duration kRecent = std::chrono::seconds(5);
// Fewer observations say little: a process that has just started has to open
// its connections.
constexpr int kMinObservations = 3;
constexpr int kEqualObservations = 10;
// A run beyond this multiple of its route's target counts as that, because one
// pause of a searcher says little about this VM.
constexpr int kMaxTargets = 2;

}  // namespace

void RunTimes::Observe(const std::string& route,
                       Duration took,
                       Duration target,
                       TimePoint now) {
  Measure& measure = measures_[route];
  ++observations_;
  ++measure.count;
  double us = static_cast<double>(std::min(took, target * kMaxTargets).count());
  Duration age = now - measure.updated;
  auto faded = [](Duration interval, Duration memory) {
    return 1.0 - std::exp(-ToMilliseconds(interval) / ToMilliseconds(memory));
  };
  double recent_weight = measure.count == 1
                             ? 1.0
                             : std::max(kMinRecentWeight, faded(age, kMemory));
  double usual_weight = measure.count <= kEqualObservations
                            ? 1.0 / measure.count
                            : faded(std::min(age, kMaxInterval), kUsualMemory);
  measure.recent_us += recent_weight * (us - measure.recent_us);
  measure.usual_us += usual_weight * (us - measure.usual_us);
  measure.updated = now;
}

std::map<std::string, Duration> RunTimes::Lower(TimePoint now) const {
  return Get(now, &std::min<double>);
}

std::map<std::string, Duration> RunTimes::Higher(TimePoint now) const {
  return Get(now, &std::max<double>);
}

std::map<std::string, Duration> RunTimes::Get(TimePoint now, Pick pick) const {
  std::map<std::string, Duration> times;
  if (observations_ < kMinObservations)
    return times;
  for (const auto& [route, it] : measures_) {
    double us = now - it.updated < kRecent ? pick(it.recent_us, it.usual_us)
                                           : it.usual_us;
    times[route] = Duration(static_cast<Duration::rep>(us));
  }
  return times;
}

}  // namespace jujubecove
