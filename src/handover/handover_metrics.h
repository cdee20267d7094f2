#pragma once

#include <array>

#include "handover/handover_protocol.h"
#include "telemetry/metrics.h"

namespace jujubecove {

// How a hand-over ended for the daemon that tried it.
enum class HandoverResult : std::uint8_t {
  kAnswered,
  // The peer refused; this VM ran the query.
  kRefused,
  // It could not be sent; this VM ran the query.
  kNotSent,
  // The connection broke; the caller got an error.
  kBroken,
  // No answer came in time; the caller got an error.
  kSilent,
  // The caller disconnected.
  kAbandoned,
};
inline constexpr int kHandoverResultCount =
    static_cast<int>(HandoverResult::kAbandoned) + 1;
std::string_view NameOf(HandoverResult result);

// Queries that were handed over to other VMs and taken over from them.
class HandoverMetrics {
 public:
  explicit HandoverMetrics(MetricsRegistry& registry);

  void CountHandedOver(HandoverResult result) {
    handed_over_[static_cast<std::size_t>(result)]->Add();
  }
  void CountTakenOver() { taken_over_->Add(); }
  void CountRefused(TakeoverRefusal reason) {
    refused_[static_cast<std::size_t>(reason)]->Add();
  }
  void CountReport(bool answered) {
    (answered ? reports_ : unanswered_)->Add();
  }

 private:
  std::array<Counter*, kHandoverResultCount> handed_over_{};
  Counter* taken_over_;
  std::array<Counter*, 3> refused_{};
  Counter* reports_;
  Counter* unanswered_;
};

}  // namespace jujubecove
