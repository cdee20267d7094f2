#include "handover/handover_metrics.h"

namespace jujubecove {
namespace {

Counter* Reports(MetricsRegistry& registry, const std::string& result) {
  return &registry.AddCounter("jujubecove_handover_reports_total",
                              "Load reports that were asked for, by result.",
                              {{"result", result}});
}

}  // namespace

std::string_view NameOf(HandoverResult result) {
  static constexpr std::array<std::string_view, kHandoverResultCount> kNames = {
      "answered", "refused", "not_sent", "broken", "silent", "abandoned"};
  return kNames[static_cast<std::size_t>(result)];
}

HandoverMetrics::HandoverMetrics(MetricsRegistry& registry)
    : taken_over_(&registry.AddCounter(
          "jujubecove_queries_taken_over_total",
          "Queries that other VMs handed over and that ran here.")),
      reports_(Reports(registry, "answered")),
      unanswered_(Reports(registry, "unanswered")) {
  for (int n = 0; n < kHandoverResultCount; ++n) {
    handed_over_[static_cast<std::size_t>(n)] = &registry.AddCounter(
        "jujubecove_queries_handed_over_total",
        "Queries that were handed over to another VM, by result.",
        {{"result", std::string(NameOf(static_cast<HandoverResult>(n)))}});
  }
  for (std::size_t n = 0; n < refused_.size(); ++n) {
    refused_[n] = &registry.AddCounter(
        "jujubecove_takeovers_refused_total",
        "Queries of other VMs that were refused, by reason.",
        {{"reason", std::string(NameOf(static_cast<TakeoverRefusal>(n)))}});
  }
}

}  // namespace jujubecove
