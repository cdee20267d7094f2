#pragma once

#include <cstdint>

#include "discovery/store_watcher.h"
#include "egress/egress_stats.h"
#include "relay/relayed_kv_store.h"
#include "telemetry/metrics.h"

namespace jujubecove {

// The values that FrontMetrics exports.
struct FrontState {
  std::uint64_t config_version = 0;
  TimePoint config_applied_at{};
  std::size_t ready_searchers = 0;
  int fleet_size = 0;
  int unreachable_zones = 0;
  int evacuated_zones = 0;
  bool store_connected = false;
  std::size_t caller_connections = 0;
  std::uint64_t callers_displaced = 0;
  std::size_t caller_memory = 0;
  std::uint64_t requests_refused_for_memory = 0;
  std::uint64_t answers_dropped_for_memory = 0;
  std::uint64_t log_lines_left_out = 0;
  EgressStats egress;
  StoreCallStats store_calls;
  RelayStats relay;
  bool is_store_reader = false;
  bool follows_store_reader = false;
  Duration store_view_age{};
  // Polls of other daemons that this one has answered as a reader.
  std::uint64_t relay_polls = 0;
};

// Gauges of the state of the process, updated when the metrics are read.
class FrontMetrics {
 public:
  explicit FrontMetrics(MetricsRegistry& registry);
  void Update(const FrontState& state, TimePoint now);

 private:
  Gauge& config_version_;
  Gauge& config_age_;
  Gauge& ready_searchers_;
  Gauge& fleet_size_;
  Gauge& unreachable_zones_;
  Gauge& evacuated_zones_;
  Gauge& store_connected_;
  Gauge& caller_connections_;
  Gauge& callers_displaced_;
  Gauge& caller_memory_;
  Gauge& requests_refused_for_memory_;
  Gauge& answers_dropped_for_memory_;
  Gauge& log_lines_left_out_;
  Gauge& connections_opened_;
  Gauge& connects_failed_;
  Gauge& probes_sent_;
  Gauge& requests_sent_;
  Gauge& exchanges_broken_;
  Gauge& store_served_;
  Gauge& store_refused_;
  Gauge& store_unanswered_;
  Gauge& store_compacted_;
  Gauge& store_too_large_;
  Gauge& store_watches_;
  Gauge& reader_answers_;
  Gauge& readers_declined_;
  Gauge& readers_unanswered_;
  Gauge& readers_without_history_;
  Gauge& is_store_reader_;
  Gauge& follows_store_reader_;
  Gauge& store_view_age_;
  Gauge& relay_polls_;
};

}  // namespace jujubecove
