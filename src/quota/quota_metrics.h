#pragma once

#include <array>
#include <cstdint>
#include <string_view>

#include "telemetry/metrics.h"

namespace jujubecove {

// Why a request got no token.
enum class QuotaRefusal : std::uint8_t {
  // The owners have no token left.
  kOverLimit,
  // No owner answered.
  kNoOwner,
};
std::string_view NameOf(QuotaRefusal cause);

// Metrics of the rate limits of workspaces.
class QuotaMetrics {
 public:
  explicit QuotaMetrics(MetricsRegistry& registry);

  void CountAdmitted() { admitted_.Add(); }
  void CountRefused(QuotaRefusal cause) {
    refused_[static_cast<std::size_t>(cause)]->Add();
  }
  void CountGranted(int tokens) {
    granted_.Add(static_cast<std::uint64_t>(tokens));
  }
  void CountExpired(int tokens) {
    expired_.Add(static_cast<std::uint64_t>(tokens));
  }
  void CountCall() { calls_.Add(); }
  void CountLateCall() { late_calls_.Add(); }

 private:
  Counter& admitted_;
  std::array<Counter*, 2> refused_;
  Counter& granted_;
  Counter& expired_;
  Counter& calls_;
  Counter& late_calls_;
};

}  // namespace jujubecove
