#include "dispatch/dispatch_metrics.h"

namespace jujubecove {

std::string_view NameOf(RouteKind kind) {
  constexpr std::array<std::string_view, kRouteKindCount> kNames = {
      "scatter", "repeatable", "once"};
  return kNames[static_cast<std::size_t>(kind)];
}

std::string_view NameOf(MissingCause cause) {
  constexpr std::array<std::string_view, kMissingCauseCount> kNames = {
      "no_searcher", "failed", "not_in_time", "budget_spent"};
  return kNames[static_cast<std::size_t>(cause)];
}

std::string_view NameOf(AttemptResult result) {
  constexpr std::array<std::string_view, kAttemptResultCount> kNames = {
      "success", "failure", "rejected", "wrong_instance", "not_sent", "broken"};
  return kNames[static_cast<std::size_t>(result)];
}

DispatchMetrics::DispatchMetrics(MetricsRegistry& registry)
    : cancelled_(&registry.AddCounter("jujubecove_attempts_cancelled_total",
                                      "Attempts cancelled before a reply.")),
      hedges_(&registry.AddCounter("jujubecove_hedges_total",
                                   "Attempts sent because another was slow.")),
      retries_(&registry.AddCounter("jujubecove_retries_total",
                                    "Attempts sent because another failed.")),
      budget_denied_(
          &registry.AddCounter("jujubecove_repeats_denied_total",
                               "Retries and hedges denied by the budget.")) {
  for (int n = 0; n < kRouteKindCount; ++n) {
    std::string kind(NameOf(static_cast<RouteKind>(n)));
    for (int error = 0; error <= kErrorKindCount; ++error) {
      std::string outcome =
          error == kErrorKindCount
              ? "answered"
              : std::string(NameOf(static_cast<ErrorKind>(error)));
      answers_[n][error] = &registry.AddCounter(
          "jujubecove_requests_total", "Requests by kind and outcome.",
          {{"kind", kind}, {"outcome", outcome}});
    }
    late_[n] = &registry.AddCounter("jujubecove_answers_late_total",
                                    "Answers after their route's target.",
                                    {{"kind", kind}});
    partial_[n] =
        &registry.AddCounter("jujubecove_answers_partial_total",
                             "Answers with missing parts.", {{"kind", kind}});
    abandoned_[n] = &registry.AddCounter("jujubecove_requests_abandoned_total",
                                         "Requests whose caller disconnected.",
                                         {{"kind", kind}});
    latency_[n] = &registry.AddSummary("jujubecove_answer_ms",
                                       "Time to the answer in milliseconds.",
                                       {{"kind", kind}});
  }
  for (int n = 0; n < kAttemptResultCount; ++n) {
    attempts_[n] = &registry.AddCounter(
        "jujubecove_attempts_total", "Attempts at searchers by result.",
        {{"result", std::string(NameOf(static_cast<AttemptResult>(n)))}});
  }
  for (int n = 0; n < kMissingCauseCount; ++n) {
    missing_[n] = &registry.AddCounter(
        "jujubecove_parts_missing_total", "Shards missing from answers.",
        {{"cause", std::string(NameOf(static_cast<MissingCause>(n)))}});
  }
}

void DispatchMetrics::CountAnswer(RouteKind kind,
                                  const CallerAnswer& answer,
                                  Duration took,
                                  bool late) {
  auto n = static_cast<std::size_t>(kind);
  std::size_t outcome = answer.error
                            ? static_cast<std::size_t>(*answer.error)
                            : static_cast<std::size_t>(kErrorKindCount);
  answers_[n][outcome]->Add();
  latency_[n]->Observe(ToMilliseconds(took));
  if (answer.error)
    return;
  if (late)
    late_[n]->Add();
  if (answer.missing_parts > 0)
    partial_[n]->Add();
}

}  // namespace jujubecove
