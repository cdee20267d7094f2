#pragma once

#include "base/units.h"

namespace jujubecove {

// Requests that a workspace may send over all VMs together.
struct QuotaLimit {
  double rate_per_second = 0.0;
  double burst = 0.0;
};

// The bound on the requests of a workspace that the whole fleet admits in any
// sliding window: (rate * window + burst) * (1 + overage) + slack.
struct QuotaOptions {
  // Zero disables the enforcement of rate limits.
  Duration window{};
  double overage = 0.0;
  // Requests per window.
  double slack = 0.0;

  bool enabled() const { return window > Duration(0); }
  // Granted tokens expire after this time. In a window are then spent only
  // tokens that were granted in a span that is longer by this much.
  Duration token_lifetime() const { return window / 20; }
  // The bucket that all owners of a workspace hold together while each part has
  // one owner. What it grants in a window and a token's lifetime is within the
  // bound less the share kUnconfirmedSlack of the slack.
  QuotaLimit BucketFor(const QuotaLimit& limit) const;
};

// Parts of QuotaOptions::slack.
//
// Capacity of the bucket beyond the burst, so that the parts of a small burst
// still hold whole tokens.
inline constexpr double kCapacitySlack = 0.2;
// Filling of the bucket beyond the rate: requests that the bound allows are not
// refused, and a bucket that starts empty has its first token soon.
inline constexpr double kRateSlack = 0.6;
// Tokens of owners that can't rule out that another VM is owner too.
inline constexpr double kUnconfirmedSlack = 0.2;

}  // namespace jujubecove
