#include "front/front_metrics.h"

namespace jujubecove {
namespace {

Gauge& StoreCalls(MetricsRegistry& registry, const std::string& result) {
  return registry.AddGauge("jujubecove_store_calls",
                           "Calls to the store since the start, by result.",
                           {{"result", result}});
}

Gauge& ReaderPolls(MetricsRegistry& registry, const std::string& result) {
  return registry.AddGauge("jujubecove_store_reader_polls",
                           "Polls of daemons that watch the store, by result.",
                           {{"result", result}});
}

}  // namespace

FrontMetrics::FrontMetrics(MetricsRegistry& registry)
    : config_version_(registry.AddGauge("jujubecove_config_version",
                                        "Active version; 0 if there is none.")),
      config_age_(registry.AddGauge("jujubecove_config_age_seconds",
                                    "Time since the version became active.")),
      ready_searchers_(
          registry.AddGauge("jujubecove_searchers_ready",
                            "Searchers that are ready for requests.")),
      fleet_size_(registry.AddGauge("jujubecove_fleet_size",
                                    "Entry daemons that share the limits.")),
      unreachable_zones_(
          registry.AddGauge("jujubecove_zones_unreachable",
                            "Availability zones that can't be reached.")),
      evacuated_zones_(registry.AddGauge(
          "jujubecove_zones_evacuated",
          "Availability zones whose searchers get no new requests.")),
      store_connected_(registry.AddGauge("jujubecove_store_connected",
                                         "1 while the store is reachable.")),
      caller_connections_(registry.AddGauge("jujubecove_caller_connections",
                                            "Open connections of callers.")),
      callers_displaced_(registry.AddGauge(
          "jujubecove_caller_connections_displaced",
          "Waiting connections of callers closed to make room.")),
      caller_memory_(registry.AddGauge(
          "jujubecove_caller_memory_bytes",
          "Requests and unsent answers on all connections of callers.")),
      requests_refused_for_memory_(registry.AddGauge(
          "jujubecove_caller_memory_requests_refused",
          "Incomplete requests refused to make room in this memory.")),
      answers_dropped_for_memory_(registry.AddGauge(
          "jujubecove_caller_memory_answers_dropped",
          "Unread answers dropped to make room in this memory.")),
      log_lines_left_out_(registry.AddGauge("jujubecove_log_lines_left_out",
                                            "Log lines dropped.")),
      connections_opened_(
          registry.AddGauge("jujubecove_searcher_connections_opened",
                            "Connections opened to searchers.")),
      connects_failed_(
          registry.AddGauge("jujubecove_searcher_connects_failed",
                            "Connections to searchers that failed to open.")),
      probes_sent_(registry.AddGauge(
          "jujubecove_searcher_probes_sent",
          "Connections opened to find out whether a zone can be reached.")),
      requests_sent_(registry.AddGauge("jujubecove_searcher_requests_sent",
                                       "Requests written to searchers.")),
      exchanges_broken_(
          registry.AddGauge("jujubecove_searcher_exchanges_broken",
                            "Requests to searchers without a valid reply.")),
      store_served_(StoreCalls(registry, "served")),
      store_refused_(StoreCalls(registry, "refused")),
      store_unanswered_(StoreCalls(registry, "unanswered")),
      store_compacted_(StoreCalls(registry, "compacted")),
      store_too_large_(StoreCalls(registry, "too_large")),
      store_watches_(registry.AddGauge(
          "jujubecove_store_watches",
          "Watches of the store that this daemon has sent itself.")),
      reader_answers_(ReaderPolls(registry, "current")),
      readers_declined_(ReaderPolls(registry, "declined")),
      readers_unanswered_(ReaderPolls(registry, "unanswered")),
      readers_without_history_(ReaderPolls(registry, "no_history")),
      is_store_reader_(registry.AddGauge(
          "jujubecove_store_reader",
          "1 while this daemon watches the store for others.")),
      follows_store_reader_(
          registry.AddGauge("jujubecove_store_follows_reader",
                            "1 while this daemon gets changes from a reader.")),
      store_view_age_(
          registry.AddGauge("jujubecove_store_view_age_seconds",
                            "Time since the store or a reader has answered.")),
      relay_polls_(registry.AddGauge("jujubecove_store_reader_polls_served",
                                     "Polls of other daemons answered.")) {}

void FrontMetrics::Update(const FrontState& state, TimePoint now) {
  auto set = [](Gauge& gauge, auto value) {
    gauge.Set(static_cast<double>(value));
  };
  set(config_version_, state.config_version);
  set(config_age_, ToMilliseconds(now - state.config_applied_at) / 1000.0);
  set(ready_searchers_, state.ready_searchers);
  set(fleet_size_, state.fleet_size);
  set(unreachable_zones_, state.unreachable_zones);
  set(evacuated_zones_, state.evacuated_zones);
  set(store_connected_, state.store_connected ? 1 : 0);
  set(caller_connections_, state.caller_connections);
  set(callers_displaced_, state.callers_displaced);
  set(caller_memory_, state.caller_memory);
  set(requests_refused_for_memory_, state.requests_refused_for_memory);
  set(answers_dropped_for_memory_, state.answers_dropped_for_memory);
  set(log_lines_left_out_, state.log_lines_left_out);
  set(connections_opened_, state.egress.connections_opened);
  set(connects_failed_, state.egress.connects_failed);
  set(probes_sent_, state.egress.probes_sent);
  set(requests_sent_, state.egress.requests_sent);
  set(exchanges_broken_, state.egress.exchanges_broken);
  set(store_served_, state.store_calls.served);
  set(store_refused_, state.store_calls.refused);
  set(store_unanswered_, state.store_calls.unanswered);
  set(store_compacted_, state.store_calls.compacted);
  set(store_too_large_, state.store_calls.too_large);
  set(store_watches_, state.relay.store_watches);
  set(reader_answers_, state.relay.reader_answers);
  set(readers_declined_, state.relay.readers_declined);
  set(readers_unanswered_, state.relay.readers_unanswered);
  set(readers_without_history_, state.relay.readers_without_history);
  set(is_store_reader_, state.is_store_reader ? 1 : 0);
  set(follows_store_reader_, state.follows_store_reader ? 1 : 0);
  set(store_view_age_, ToMilliseconds(state.store_view_age) / 1000.0);
  set(relay_polls_, state.relay_polls);
}

}  // namespace jujubecove
