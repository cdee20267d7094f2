#include "routing/outlier_ejection.h"

#include <algorithm>
#include <cstddef>

namespace jujubecove {
namespace {

constexpr Duration kInitialPeriod{1'000'000};
// At most 64 s.
constexpr std::uint32_t kMaxDoublings = 6;
// A searcher that was not ejected for this long starts from the initial period
// again.
constexpr Duration kResetAfter{120'000'000};
// At most 1 query in 500 may be slowed by a probe. The margin allows for
// retries that have no other replica left and for saved tokens.
constexpr double kQueriesPerProbe = 1000;

}  // namespace

Duration OutlierEjection::Period() const {
  return kInitialPeriod *
         (1 << std::min(consecutive_ejections_ - 1, kMaxDoublings));
}

void OutlierEjection::Eject(TimePoint now) {
  if (!ejected_ && now - unejected_at_ > kResetAfter)
    consecutive_ejections_ = 0;
  ejected_ = true;
  probing_ = false;
  ++consecutive_ejections_;
  probe_at_ = now + Period();
}

void OutlierEjection::Uneject(TimePoint now) {
  ejected_ = false;
  probing_ = false;
  unejected_at_ = now;
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
