#include "daemon/query_pipeline.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "admission/make_admission_queue.h"
#include "admission/unlimited_admission.h"
#include "daemon/metered_router.h"
#include "routing/baseline_router.h"
#include "routing/make_router.h"
#include "telemetry/log.h"

namespace jujubecove {
namespace {

constexpr Duration kStatePollInterval = std::chrono::milliseconds(50);
// After this time the daemon becomes ready even if some service has no shard
// map, because the service may have lost all its searchers.
constexpr Duration kMapWaitLimit = std::chrono::seconds(2);

std::unique_ptr<Router> MakePolicyRouter(TimerService& timers,
                                         const QueryPipelineOptions& options) {
  std::unique_ptr<Router> router = MakeRouter(timers, options.seed);
  if (!options.baseline)
    return router;
  return std::make_unique<BaselineRouter>(std::move(router), options.seed);
}

}  // namespace

QueryPipeline::QueryPipeline(TimerService& timers,
                             UpstreamTransport& transport,
                             TicketForwarder& forwarder,
                             MetricsRegistry& metrics,
                             const QueryPipelineOptions& options)
    : timers_(timers),
      trace_sink_(options.unix_epoch_offset),
      router_(std::make_unique<MeteredRouter>(MakePolicyRouter(timers, options),
                                              metrics)),
      admission_(options.baseline ? std::make_unique<UnlimitedAdmission>()
                                  : MakeAdmissionQueue(timers)),
      tickets_(MakeTicketTable(timers, options.tickets)),
      engine_(EngineDependencies{timers, *router_, *admission_, transport,
                                 &trace_sink_},
              EngineOptions(),
              options.seed + 1),
      service_(timers, engine_, *tickets_, forwarder, QueryServiceOptions()),
      metered_service_(service_, timers, metrics),
      in_flight_(metrics.AddGauge("jujubecove_queries_in_flight",
                                  "Queries in flight.")),
      queued_(metrics.AddGauge("jujubecove_admission_queued",
                               "Queries waiting for admission.")),
      tickets_kept_(metrics.AddGauge("jujubecove_tickets_kept",
                                     "Used tickets in the ticket table.")),
      config_version_(metrics.AddGauge("jujubecove_config_version",
                                       "Version of the active document.")),
      searchers_known_(
          metrics.AddGauge("jujubecove_searchers_known",
                           "Searchers in the platform's list that are not "
                           "draining.")) {}

void QueryPipeline::Start(StateHandler handler) {
  state_handler_ = std::move(handler);
  PollState();
}

void QueryPipeline::SetDocument(std::shared_ptr<const Document> document) {
  document_ = std::move(document);
  router_->SetDocument(document_);
  admission_->SetDocument(*document_, live_daemons_);
  engine_.SetDocument(document_);
  metered_service_.SetDocument(*document_);
  JJ_LOG(kConfig, INFO) << "document version " << document_->version.value()
                        << " is active: " << document_->kinds.size()
                        << " kinds, " << document_->services.size()
                        << " services";
}

void QueryPipeline::SetLiveDaemons(std::size_t count) {
  live_daemons_ = std::max<std::size_t>(count, 1);
  router_->SetLiveDaemons(live_daemons_);
  if (document_)
    admission_->SetDocument(*document_, live_daemons_);
}

void QueryPipeline::ApplyVmList(const std::vector<SearcherVm>& searchers) {
  searchers_ = searchers;
  if (!searchers_.empty() && !first_searcher_at_)
    first_searcher_at_ = timers_.Now();
  router_->ApplyVmList(searchers_);
}

void QueryPipeline::PollState() {
  in_flight_.Set(static_cast<double>(service_.in_flight()));
  queued_.Set(static_cast<double>(admission_->queued()));
  tickets_kept_.Set(static_cast<double>(tickets_->size()));
  searchers_known_.Set(static_cast<double>(
      std::count_if(searchers_.begin(), searchers_.end(),
                    [](const SearcherVm& vm) { return !vm.leaving; })));
  ApiServerState state = MakeState();
  config_version_.Set(static_cast<double>(state.config_version.value()));
  bool changed =
      state.not_ready_reasons != published_state_.not_ready_reasons ||
      state.config_version != published_state_.config_version;
  if (changed && state_handler_(state))
    published_state_ = std::move(state);
  timers_.ScheduleAfter(kStatePollInterval, [this] { PollState(); });
}

ApiServerState QueryPipeline::MakeState() {
  ApiServerState state;
  state.not_ready_reasons.clear();
  if (document_)
    state.config_version = document_->version;
  else
    state.not_ready_reasons.emplace_back("no document is known");
  if (searchers_.empty())
    state.not_ready_reasons.emplace_back("no searcher is known");
  else if (document_ && !HasUsableMaps())
    state.not_ready_reasons.emplace_back("no shard map is known yet");
  return state;
}

// A daemon that was ready stays ready when it loses maps. Only the requests
// that need them fail, and other daemons would probably lack the same maps.
bool QueryPipeline::HasUsableMaps() {
  if (was_ready_)
    return true;
  std::size_t expected = 0;
  std::size_t found = 0;
  for (const auto& it : document_->services) {
    bool listed = std::any_of(
        searchers_.begin(), searchers_.end(),
        [&it](const SearcherVm& vm) { return vm.service == it.first; });
    expected += listed ? 1 : 0;
    found += listed && router_->CurrentMap(it.first) ? 1 : 0;
  }
  bool may_wait = timers_.Now() - *first_searcher_at_ < kMapWaitLimit;
  was_ready_ = found > 0 && (found == expected || !may_wait);
  return was_ready_;
}

}  // namespace jujubecove
