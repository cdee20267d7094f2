#include "dispatch/searcher_pace.h"

#include <algorithm>

namespace jujubecove {
namespace {

constexpr int kInitialLimit = 1;
// A searcher with this limit is not paced any more.
constexpr int kFullLimit = 8;
// Expected slowness of a searcher that has not replied yet.
constexpr double kInitialFactor = 1.6;
constexpr double kMaxFactor = 4.0;
// A reply within this multiple of the usual time is as good as those of the
// neighbours. Replies of one searcher vary by about as much.
constexpr double kGoodRatio = 1.4;
// Share of the excess of the factor that remains after a good reply.
constexpr double kGoodDecay = 0.5;
constexpr double kBadGrowth = 1.3;

}  // namespace

void SearcherPace::Begin() {
  paced_ = true;
  limit_ = kInitialLimit;
  factor_ = std::max(factor_, kInitialFactor);
}

void SearcherPace::OnReply(bool success, double ratio) {
  if (!paced_)
    return;
  if (!success || ratio > kGoodRatio) {
    limit_ = std::max(limit_ / 2, kInitialLimit);
    factor_ = std::min(factor_ * kBadGrowth, kMaxFactor);
    return;
  }
  limit_ *= 2;
  factor_ = 1.0 + (factor_ - 1.0) * kGoodDecay;
  if (limit_ < kFullLimit)
    return;
  paced_ = false;
  factor_ = 1.0;
}

}  // namespace jujubecove
