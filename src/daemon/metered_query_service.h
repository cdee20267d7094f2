#pragma once

#include <map>
#include <string>
#include <utility>

#include "document/document.h"
#include "gather/query_service.h"
#include "kernel/timer_service.h"
#include "telemetry/metrics.h"

namespace jujubecove {

// Measures the requests of this daemon's callers by kind and by the status of
// their answers.
class MeteredQueryService : public QueryService {
 public:
  MeteredQueryService(QueryService& service,
                      TimerService& timers,
                      MetricsRegistry& metrics)
      : service_(service), timers_(timers), metrics_(metrics) {}

  // Requests of other kinds share one label, since their names come from
  // callers.
  void SetDocument(const Document& document);

  void Submit(QueryRequest request, AnswerHandler handler) override;
  void Abandon(RequestId request) override { service_.Abandon(request); }
  void IssueTickets(std::size_t count, TicketHandler handler) override {
    service_.IssueTickets(count, std::move(handler));
  }
  std::size_t in_flight() const override { return service_.in_flight(); }

 private:
  struct KindMetrics {
    Summary* seconds = nullptr;
    std::map<std::string, Counter*> answers;
  };

  void Record(const std::string& kind,
              TimePoint start,
              const RenderedAnswer& answer);

  QueryService& service_;
  TimerService& timers_;
  MetricsRegistry& metrics_;
  // By kind; kinds that left the document stay.
  std::map<std::string, KindMetrics> kinds_;
};

// The member "status" of an answer, which every answer starts with; "other" for
// anything else.
std::string StatusOfAnswer(const std::string& body);

}  // namespace jujubecove
