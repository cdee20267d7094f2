#pragma once

#include "base/units.h"

namespace jujubecove {

// The bound on the requests of a workspace that the whole fleet admits in any
// sliding window: (rate * window + burst) * (1 + overage) + slack.
struct QuotaOptions {
  // Zero disables the enforcement of rate limits.
  Duration window{};
  double overage = 0.0;
  // Requests per window.
  double slack = 0.0;

  bool enabled() const { return window > Duration(0); }
  double window_seconds() const {
    return static_cast<double>(window.count()) / 1e6;
  }
  // Granted tokens expire after this time. In a window are then spent only
  // tokens that were granted in a span that is longer by this much, which the
  // overage allows.
  Duration token_lifetime() const {
    return Duration(static_cast<Duration::rep>(
        static_cast<double>(window.count()) * overage));
  }
};

// The parts of QuotaOptions::slack. Each covers one way in which the fleet may
// admit more than rate and burst allow.
//
// Capacity of the buckets beyond the burst, so that the parts of a small burst
// still hold whole tokens.
inline constexpr double kCapacitySlack = 0.25;
// Tokens in the buckets of owners that have just started.
inline constexpr double kStartSlack = 0.2;
// Tokens of owners that can't rule out that another VM is owner too.
inline constexpr double kUnconfirmedSlack = 0.45;

}  // namespace jujubecove
