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
// The same of the usual time, which the first observations form equally.
constexpr double kMinUsualWeight = 0.03;
// An observation is recent for this time.
constexpr Duration kRecent = std::chrono::seconds(5);
// Fewer observations say little: a process that has just started has to open
// its connections.
constexpr int kMinObservations = 3;
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
  double age = ToMilliseconds(now - measure.updated);
  double faded = 1.0 - std::exp(-age / ToMilliseconds(kMemory));
  double recent_weight =
      measure.count == 1 ? 1.0 : std::max(kMinRecentWeight, faded);
  double usual_weight = std::max(kMinUsualWeight, 1.0 / measure.count);
  measure.recent_us += recent_weight * (us - measure.recent_us);
  measure.usual_us += usual_weight * (us - measure.usual_us);
  measure.updated = now;
}

std::map<std::string, Duration> RunTimes::Get(TimePoint now) const {
  std::map<std::string, Duration> times;
  if (observations_ < kMinObservations)
    return times;
  for (const auto& [route, it] : measures_) {
    double us = now - it.updated < kRecent ? it.recent_us : it.usual_us;
    times[route] = Duration(static_cast<Duration::rep>(us));
  }
  return times;
}

}  // namespace jujubecove
