#include "daemon/query_side.h"

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

constexpr Duration kWatchInterval = std::chrono::milliseconds(50);
// After this a daemon gets ready although some service has no map, because the
// service may have lost all its searchers.
constexpr Duration kMapPatience = std::chrono::seconds(2);

std::unique_ptr<Router> MakePolicy(TimerService& timers,
                                   const QuerySideOptions& options) {
  std::unique_ptr<Router> router = MakeRouter(timers, options.seed);
  if (!options.baseline)
    return router;
  return std::make_unique<BaselineRouter>(std::move(router), options.seed);
}

}  // namespace

QuerySide::QuerySide(TimerService& timers,
                     UpstreamTransport& transport,
                     TicketForwarder& forwarder,
                     MetricsRegistry& metrics,
                     const QuerySideOptions& options)
    : timers_(timers),
      trace_sink_(options.unix_epoch_offset),
      router_(std::make_unique<MeteredRouter>(MakePolicy(timers, options),
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
                                  "Queries that have not been answered.")),
      queued_(metrics.AddGauge("jujubecove_admission_queued",
                               "Queries that wait to be admitted.")),
      tickets_kept_(metrics.AddGauge("jujubecove_tickets_kept",
                                     "Used tickets that are kept.")),
      config_version_(metrics.AddGauge("jujubecove_config_version",
                                       "Version of the document in force.")),
      searchers_known_(
          metrics.AddGauge("jujubecove_searchers_known",
                           "Searchers in the platform's list that are not "
                           "leaving.")) {}

void QuerySide::Start(StateHandler handler) {
  state_handler_ = std::move(handler);
  Watch();
}

void QuerySide::SetDocument(std::shared_ptr<const Document> document) {
  document_ = std::move(document);
  router_->SetDocument(document_);
  admission_->SetDocument(*document_, live_daemons_);
  engine_.SetDocument(document_);
  metered_service_.SetDocument(*document_);
  JJ_LOG(kConfig, INFO) << "document version " << document_->version.value()
                        << " is in force, " << document_->kinds.size()
                        << " kinds, " << document_->services.size()
                        << " services";
}

void QuerySide::SetLiveDaemons(std::size_t count) {
  live_daemons_ = std::max<std::size_t>(count, 1);
  router_->SetLiveDaemons(live_daemons_);
  if (document_)
    admission_->SetDocument(*document_, live_daemons_);
}

void QuerySide::ApplyVmList(const std::vector<SearcherVm>& searchers) {
  searchers_ = searchers;
  if (!searchers_.empty() && !first_listed_)
    first_listed_ = timers_.Now();
  router_->ApplyVmList(searchers_);
}

void QuerySide::Watch() {
  in_flight_.Set(static_cast<double>(service_.in_flight()));
  queued_.Set(static_cast<double>(admission_->queued()));
  tickets_kept_.Set(static_cast<double>(tickets_->size()));
  searchers_known_.Set(static_cast<double>(
      std::count_if(searchers_.begin(), searchers_.end(),
                    [](const SearcherVm& vm) { return !vm.leaving; })));
  ApiServerState state = MakeState();
  config_version_.Set(static_cast<double>(state.config_version.value()));
  bool changed = state.not_ready_reasons != shown_.not_ready_reasons ||
                 state.config_version != shown_.config_version;
  if (changed && state_handler_(state))
    shown_ = std::move(state);
  timers_.ScheduleAfter(kWatchInterval, [this] { Watch(); });
}

ApiServerState QuerySide::MakeState() {
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

// Once ready, lost maps make single requests fail, not the daemon: another
// daemon would hardly have more.
bool QuerySide::HasUsableMaps() {
  if (was_ready_)
    return true;
  std::size_t wanted = 0;
  std::size_t found = 0;
  for (const auto& it : document_->services) {
    bool listed = std::any_of(
        searchers_.begin(), searchers_.end(),
        [&it](const SearcherVm& vm) { return vm.service == it.first; });
    wanted += listed ? 1 : 0;
    found += listed && router_->CurrentMap(it.first) ? 1 : 0;
  }
  bool patient = timers_.Now() - *first_listed_ < kMapPatience;
  was_ready_ = found > 0 && (found == wanted || !patient);
  return was_ready_;
}

}  // namespace jujubecove
