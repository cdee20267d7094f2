#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <vector>

#include "admission/admission_queue.h"
#include "api/api_server.h"
#include "daemon/metered_query_service.h"
#include "document/document.h"
#include "gather/query_engine_impl.h"
#include "gather/query_service_impl.h"
#include "gather/ticket_forwarder.h"
#include "gather/trace_sink.h"
#include "kernel/timer_service.h"
#include "routing/router.h"
#include "telemetry/metrics.h"
#include "tickets/ticket_options.h"
#include "tickets/ticket_table.h"
#include "upstream/upstream_transport.h"

namespace jujubecove {

struct QueryPipelineOptions {
  TicketOptions tickets;
  std::uint64_t seed = 0;
  Duration unix_epoch_offset{};
  // Chooses random replicas, without hedging and admission control.
  bool baseline = false;
};

// The services of the query thread: router, admission queue, ticket table,
// query engine and query service.
class QueryPipeline {
 public:
  // Called when the state that the frontend shows has changed. Called again
  // later if it returns false.
  using StateHandler = std::function<bool(const ApiServerState&)>;

  QueryPipeline(TimerService& timers,
                UpstreamTransport& transport,
                TicketForwarder& forwarder,
                MetricsRegistry& metrics,
                const QueryPipelineOptions& options);

  // Called before the threads start.
  void Start(StateHandler handler);

  QueryServiceImpl& service() { return service_; }
  // The service with metrics, for this daemon's callers.
  QueryService& metered_service() { return metered_service_; }
  Router& router() { return *router_; }

  // The following run on the query thread.
  void SetDocument(std::shared_ptr<const Document> document);
  void SetLiveDaemons(std::size_t count);
  void ApplyVmList(const std::vector<SearcherVm>& searchers);

 private:
  void PollState();
  ApiServerState MakeState();
  bool HasUsableMaps();

  TimerService& timers_;
  TelemetryTraceSink trace_sink_;
  std::unique_ptr<Router> router_;
  std::unique_ptr<AdmissionQueue> admission_;
  std::unique_ptr<TicketTable> tickets_;
  QueryEngineImpl engine_;
  QueryServiceImpl service_;
  MeteredQueryService metered_service_;
  StateHandler state_handler_;
  std::shared_ptr<const Document> document_;
  std::size_t live_daemons_ = 1;
  std::vector<SearcherVm> searchers_;
  // When the platform first listed a searcher.
  std::optional<TimePoint> first_searcher_at_;
  bool was_ready_ = false;
  ApiServerState published_state_;
  Gauge& in_flight_;
  Gauge& queued_;
  Gauge& tickets_kept_;
  Gauge& config_version_;
  Gauge& searchers_known_;
};

}  // namespace jujubecove
