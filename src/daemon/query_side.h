#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <vector>

#include "admission/admission_queue.h"
#include "daemon/metered_query_service.h"
#include "document/document.h"
#include "frontend/api_server.h"
#include "gather/query_engine_impl.h"
#include "gather/query_service_impl.h"
#include "gather/ticket_forwarder.h"
#include "gather/trace_sink.h"
#include "kernel/timer_service.h"
#include "once/ticket_options.h"
#include "once/ticket_table.h"
#include "routing/router.h"
#include "telemetry/metrics.h"
#include "upstream/upstream_transport.h"

namespace jujubecove {

struct QuerySideOptions {
  TicketOptions tickets;
  std::uint64_t seed = 0;
  Duration unix_epoch_offset{};
  // Random replicas without hedges and admission.
  bool baseline = false;
};

// Everything that lives on the query thread.
class QuerySide {
 public:
  // Told of each change of the state that the frontend shows. On false it is
  // told again.
  using StateHandler = std::function<bool(const ApiServerState&)>;

  QuerySide(TimerService& timers,
            UpstreamTransport& transport,
            TicketForwarder& forwarder,
            MetricsRegistry& metrics,
            const QuerySideOptions& options);

  // Called while the process is being wired.
  void Start(StateHandler handler);

  QueryServiceImpl& service() { return service_; }
  // For the callers of this daemon.
  QueryService& metered_service() { return metered_service_; }
  Router& router() { return *router_; }

  // The following run on the query thread.
  void SetDocument(std::shared_ptr<const Document> document);
  void SetLiveDaemons(std::size_t count);
  void ApplyVmList(const std::vector<SearcherVm>& searchers);

 private:
  void Watch();
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
  // When the first searcher was listed.
  std::optional<TimePoint> first_listed_;
  bool was_ready_ = false;
  ApiServerState shown_;
  Gauge& in_flight_;
  Gauge& queued_;
  Gauge& tickets_kept_;
  Gauge& config_version_;
  Gauge& searchers_known_;
};

}  // namespace jujubecove
