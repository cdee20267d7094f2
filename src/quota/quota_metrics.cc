#include "quota/quota_metrics.h"

namespace jujubecove {

std::string_view NameOf(QuotaRefusal cause) {
  return cause == QuotaRefusal::kOverLimit ? "over_limit" : "no_owner";
}

QuotaMetrics::QuotaMetrics(MetricsRegistry& registry)
    : admitted_(registry.AddCounter(
          "jujubecove_quota_admitted_total",
          "requests of rate-limited workspaces that got a token")),
      refused_{},
      granted_(registry.AddCounter("jujubecove_quota_granted_total",
                                   "tokens that this VM got from owners")),
      expired_(registry.AddCounter("jujubecove_quota_expired_total",
                                   "tokens that expired unused")),
      calls_(registry.AddCounter("jujubecove_quota_calls_total",
                                 "calls to owners on other VMs")),
      late_calls_(registry.AddCounter(
          "jujubecove_quota_late_calls_total",
          "calls after whose time to answer the next owner was asked")) {
  for (QuotaRefusal it : {QuotaRefusal::kOverLimit, QuotaRefusal::kNoOwner}) {
    refused_[static_cast<std::size_t>(it)] = &registry.AddCounter(
        "jujubecove_quota_refused_total",
        "requests of rate-limited workspaces that were refused",
        {{"cause", std::string(NameOf(it))}});
  }
}

}  // namespace jujubecove
