#include "routing/outlier_ejection.h"

#include <algorithm>
#include <cstddef>

namespace jujubecove {
namespace {

constexpr Duration kFirstPeriod{1'000'000};
// 1 s doubled six times, about one minute.
constexpr std::uint32_t kMostDoublings = 6;
// A searcher that stayed in use for this long starts again from the first
// period.
constexpr Duration kForgetAfter{120'000'000};
// The bound is 1 query in 500; the rest is margin for repeats that have no
// other replica left and for saved tokens.
constexpr double kQueriesPerProbe = 1000;

}  // namespace

Duration OutlierEjection::Period() const {
  return kFirstPeriod * (1 << std::min(count_ - 1, kMostDoublings));
}

void OutlierEjection::Eject(TimePoint now) {
  if (!ejected_ && now - lifted_at_ > kForgetAfter)
    count_ = 0;
  ejected_ = true;
  probing_ = false;
  ++count_;
  probe_at_ = now + Period();
}

void OutlierEjection::Lift(TimePoint now) {
  ejected_ = false;
  probing_ = false;
  lifted_at_ = now;
}

void OutlierEjection::BeginProbe(TimePoint now) {
  probing_ = true;
  probe_at_ = now + Period();
}

void ProbeBudget::OnFirstAttempt(std::size_t shards) {
  double earned = 1 / (kQueriesPerProbe *
                       static_cast<double>(std::max<std::size_t>(shards, 1)));
  tokens_ = std::min(1.0, tokens_ + earned);
}

}  // namespace jujubecove
