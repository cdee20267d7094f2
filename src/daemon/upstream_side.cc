#include "daemon/upstream_side.h"

#include <chrono>
#include <string>

namespace jujubecove {
namespace {

constexpr Duration kExportInterval = std::chrono::milliseconds(500);

struct ExportedStat {
  StatCounter UpstreamStats::*stat;
  const char* name;
  const char* help;
};

constexpr ExportedStat kExportedStats[] = {
    {&UpstreamStats::connections_open, "connections_open",
     "Connections to searchers."},
    {&UpstreamStats::connections_connecting, "connections_connecting",
     "Connections to searchers that are being set up."},
    {&UpstreamStats::attempts_waiting, "attempts_waiting",
     "Attempts that wait for a connection."},
    {&UpstreamStats::attempts_sent, "attempts_sent_total",
     "Attempts that were written to a connection."},
    {&UpstreamStats::connect_failures, "connect_failures_total",
     "Connections that could not be set up."},
    {&UpstreamStats::silent_connections, "silent_total",
     "Connections closed because they went silent."},
    {&UpstreamStats::bad_replies, "bad_replies_total",
     "Replies that were malformed or matched another attempt."},
    {&UpstreamStats::unsolicited, "unsolicited_total",
     "Bytes that came while no reply was due."},
    {&UpstreamStats::refused, "refused_total",
     "Refusals by searchers before execution."},
    {&UpstreamStats::no_connection, "no_connection_total",
     "Attempts that got no connection."},
    {&UpstreamStats::timed_out, "timed_out_total",
     "Attempts that reached their deadline."},
    {&UpstreamStats::cancelled, "cancelled_total", "Attempts cancelled."},
    {&UpstreamStats::pings_sent, "pings_total", "Idle connections checked."},
    {&UpstreamStats::reports_fetched, "reports_total", "Reports fetched."},
    {&UpstreamStats::maps_fetched, "maps_total", "Shard maps fetched."},
    {&UpstreamStats::maps_rejected, "maps_rejected_total",
     "Shard maps with a hole or an overlap."},
    {&UpstreamStats::bytes_sent, "sent_bytes_total",
     "Bytes sent to searchers."},
    {&UpstreamStats::bytes_received, "received_bytes_total",
     "Bytes received from searchers."},
};

}  // namespace

UpstreamSide::Lane::Lane(DutyThread& thread,
                         boost::asio::io_context& query_context,
                         IncarnationId incarnation,
                         std::uint64_t seed,
                         std::size_t capacity)
    : transport(thread.context(), thread.timers(), incarnation, seed),
      poller(transport, thread.timers(), seed + 1),
      channel(query_context, thread.context(), transport, poller, capacity) {}

UpstreamSide::UpstreamSide(const std::vector<DutyThread*>& threads,
                           boost::asio::io_context& query_context,
                           IncarnationId incarnation,
                           std::uint64_t seed,
                           std::size_t capacity,
                           MetricsRegistry& metrics)
    : first_thread_(*threads.front()) {
  std::vector<UpstreamChannel*> channels;
  for (DutyThread* thread : threads) {
    seed += 2;
    lanes_.push_back(std::make_unique<Lane>(*thread, query_context, incarnation,
                                            seed, capacity));
    channels.push_back(&lanes_.back()->channel);
  }
  transport_ = std::make_unique<PartitionedTransport>(std::move(channels));
  for (const ExportedStat& it : kExportedStats)
    exported_.emplace_back(
        it.stat, &metrics.AddGauge(
                     std::string("jujubecove_upstream_") + it.name, it.help));
  Export();
}

void UpstreamSide::Export() {
  for (const auto& [stat, gauge] : exported_) {
    double sum = 0.0;
    for (const std::unique_ptr<Lane>& lane : lanes_)
      sum +=
          static_cast<double>((lane->transport.upstream_stats().*stat).value());
    gauge->Set(sum);
  }
  first_thread_.timers().ScheduleAfter(kExportInterval, [this] { Export(); });
}

}  // namespace jujubecove
