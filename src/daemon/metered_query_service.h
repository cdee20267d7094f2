#pragma once

#include <map>
#include <string>
#include <utility>

#include "document/document.h"
#include "gather/query_service.h"
#include "kernel/timer_service.h"
#include "telemetry/metrics.h"

namespace jujubecove {

// Records metrics of the callers' requests by kind and answer status.
class MeteredQueryService : public QueryService {
 public:
  MeteredQueryService(QueryService& service,
                      TimerService& timers,
                      MetricsRegistry& metrics)
      : service_(service), timers_(timers), metrics_(metrics) {}

  // Requests of undeclared kinds share the label "other": callers choose these
  // names, so the number of labels would have no bound.
  void SetDocument(const Document& document);

  void Submit(QueryRequest request, AnswerHandler handler) override;
  void Abandon(RequestId request) override { service_.Abandon(request); }
  void IssueTickets(std::size_t count, TicketHandler handler) override {
    service_.IssueTickets(count, std::move(handler));
  }
  std::size_t in_flight() const override { return service_.in_flight(); }

 private:
  struct KindMetrics {
    Summary* latency_summary = nullptr;
    std::map<std::string, Counter*> answer_counters;
  };

  void Record(const std::string& kind,
              TimePoint start,
              const RenderedAnswer& answer);

  QueryService& service_;
  TimerService& timers_;
  MetricsRegistry& metrics_;
  // By kind. Keeps kinds that were removed from the document.
  std::map<std::string, KindMetrics> kinds_;
};

// Returns the member "status", which every answer starts with, or "other" if
// the body does not.
std::string StatusOfAnswer(const std::string& body);

}  // namespace jujubecove
