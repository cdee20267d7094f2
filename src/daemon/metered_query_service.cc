#include "daemon/metered_query_service.h"

#include <string_view>

namespace jujubecove {
namespace {

constexpr std::string_view kStatusPrefix = "{\"status\":\"";
constexpr char kOtherLabel[] = "other";
// Longer than any status.
constexpr std::size_t kMaxStatusBytes = 32;
constexpr double kMicrosecondsPerSecond = 1e6;

}  // namespace

std::string StatusOfAnswer(const std::string& body) {
  if (!body.starts_with(kStatusPrefix))
    return kOtherLabel;
  std::size_t end = body.find('"', kStatusPrefix.size());
  if (end == std::string::npos || end - kStatusPrefix.size() > kMaxStatusBytes)
    return kOtherLabel;
  return body.substr(kStatusPrefix.size(), end - kStatusPrefix.size());
}

void MeteredQueryService::SetDocument(const Document& document) {
  for (const auto& [name, kind] : document.kinds)
    kinds_.try_emplace(name.value());
}

void MeteredQueryService::Submit(QueryRequest request, AnswerHandler handler) {
  std::string kind = request.kind.value();
  TimePoint start = timers_.Now();
  service_.Submit(std::move(request),
                  [this, kind = std::move(kind), start,
                   handler = std::move(handler)](RenderedAnswer answer) {
                    Record(kind, start, answer);
                    handler(std::move(answer));
                  });
}

void MeteredQueryService::Record(const std::string& kind,
                                 TimePoint start,
                                 const RenderedAnswer& answer) {
  const std::string label = kinds_.count(kind) != 0 ? kind : kOtherLabel;
  KindMetrics& metrics = kinds_[label];
  if (metrics.latency_summary == nullptr)
    metrics.latency_summary = &metrics_.AddSummary(
        "jujubecove_query_seconds",
        "Time from a request's arrival on the query thread to its answer.",
        {{"kind", label}});
  metrics.latency_summary->Observe(
      static_cast<double>((timers_.Now() - start).count()) /
      kMicrosecondsPerSecond);
  std::string status = StatusOfAnswer(answer.body);
  Counter*& counter = metrics.answer_counters[status];
  if (counter == nullptr)
    counter = &metrics_.AddCounter("jujubecove_query_answers_total",
                                   "Answers by kind and status.",
                                   {{"kind", label}, {"status", status}});
  counter->Add();
}

}  // namespace jujubecove
