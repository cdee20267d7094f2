#include "daemon/metered_router.h"

#include <string>

namespace jujubecove {
namespace {

constexpr int kOutcomeCount = static_cast<int>(AttemptOutcome::kCancelled) + 1;
constexpr double kMicrosecondsPerSecond = 1e6;

}  // namespace

MeteredRouter::MeteredRouter(std::unique_ptr<Router> router,
                             MetricsRegistry& metrics)
    : router_(std::move(router)),
      first_attempts_(metrics.AddCounter("jujubecove_attempts_first_total",
                                         "First attempts for shards.")),
      extra_attempts_(metrics.AddCounter("jujubecove_attempts_repeat_total",
                                         "Retries and hedges.")),
      extra_attempts_denied_(
          metrics.AddCounter("jujubecove_attempts_repeat_denied_total",
                             "Retries and hedges denied by the retry budget.")),
      attempts_sent_(
          metrics.AddCounter("jujubecove_attempts_sent_total",
                             "Attempts handed to the upstream thread.")),
      attempt_seconds_(metrics.AddSummary(
          "jujubecove_attempt_seconds",
          "Latency of successful attempts, from sending to the last byte.")) {
  for (int n = 0; n < kOutcomeCount; ++n)
    outcomes_.push_back(&metrics.AddCounter(
        "jujubecove_attempt_outcomes_total", "Attempts by outcome.",
        {{"outcome", std::string(NameOf(static_cast<AttemptOutcome>(n)))}}));
}

void MeteredRouter::OnSend(const UpstreamRequest& request,
                           const ServiceName& service) {
  attempts_sent_.Add();
  router_->OnSend(request, service);
}

void MeteredRouter::OnReply(const UpstreamReply& reply) {
  outcomes_[static_cast<std::size_t>(reply.outcome)]->Add();
  if (reply.outcome == AttemptOutcome::kOk)
    attempt_seconds_.Observe(static_cast<double>(reply.latency.count()) /
                             kMicrosecondsPerSecond);
  router_->OnReply(reply);
}

void MeteredRouter::OnFirstAttempt(const ServiceName& service) {
  first_attempts_.Add();
  router_->OnFirstAttempt(service);
}

bool MeteredRouter::TryTakeRetryToken(const ServiceName& service) {
  bool taken = router_->TryTakeRetryToken(service);
  (taken ? extra_attempts_ : extra_attempts_denied_).Add();
  return taken;
}

}  // namespace jujubecove
