#include "daemon/upstream_pool.h"

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
     "Open connections to searchers."},
    {&UpstreamStats::connections_connecting, "connections_connecting",
     "Connections to searchers being established."},
    {&UpstreamStats::attempts_waiting, "attempts_waiting",
     "Attempts waiting for a connection."},
    {&UpstreamStats::attempts_sent, "attempts_sent_total",
     "Attempts written to a connection."},
    {&UpstreamStats::connect_failures, "connect_failures_total",
     "Connections that could not be established."},
    {&UpstreamStats::silent_connections, "silent_total",
     "Connections closed because they went silent."},
    {&UpstreamStats::bad_replies, "bad_replies_total",
     "Replies that were malformed or matched another attempt."},
    {&UpstreamStats::unsolicited, "unsolicited_total",
     "Bytes received while no reply was expected."},
    {&UpstreamStats::refused, "refused_total",
     "Attempts that searchers refused before execution."},
    {&UpstreamStats::no_connection, "no_connection_total",
     "Attempts that got no connection."},
    {&UpstreamStats::timed_out, "timed_out_total",
     "Attempts that reached their deadline."},
    {&UpstreamStats::cancelled, "cancelled_total", "Attempts cancelled."},
    {&UpstreamStats::pings_sent, "pings_total",
     "Pings sent on idle connections."},
    {&UpstreamStats::reports_fetched, "reports_total", "Reports fetched."},
    {&UpstreamStats::maps_fetched, "maps_total", "Shard maps fetched."},
    {&UpstreamStats::maps_rejected, "maps_rejected_total",
     "Shard maps rejected for a gap or an overlap."},
    {&UpstreamStats::bytes_sent, "sent_bytes_total",
     "Bytes sent to searchers."},
    {&UpstreamStats::bytes_received, "received_bytes_total",
     "Bytes received from searchers."},
};

}  // namespace

UpstreamPool::Worker::Worker(EventLoopThread& thread,
                             boost::asio::io_context& query_context,
                             IncarnationId incarnation,
                             std::uint64_t seed,
                             std::size_t capacity)
    : transport(thread.context(), thread.timers(), incarnation, seed),
      poller(transport, thread.timers(), seed + 1),
      channel(query_context, thread.context(), transport, poller, capacity) {}

UpstreamPool::UpstreamPool(const std::vector<EventLoopThread*>& threads,
                           boost::asio::io_context& query_context,
                           IncarnationId incarnation,
                           std::uint64_t seed,
                           std::size_t capacity,
                           MetricsRegistry& metrics)
    : first_thread_(*threads.front()) {
  std::vector<UpstreamChannel*> channels;
  for (EventLoopThread* thread : threads) {
    seed += 2;
    workers_.push_back(std::make_unique<Worker>(*thread, query_context,
                                                incarnation, seed, capacity));
    channels.push_back(&workers_.back()->channel);
  }
  transport_ = std::make_unique<PartitionedTransport>(std::move(channels));
  for (const ExportedStat& it : kExportedStats)
    exported_gauges_.emplace_back(
        it.stat, &metrics.AddGauge(
                     std::string("jujubecove_upstream_") + it.name, it.help));
  ExportStats();
}

void UpstreamPool::ExportStats() {
  for (const auto& [stat, gauge] : exported_gauges_) {
    double sum = 0.0;
    for (const std::unique_ptr<Worker>& worker : workers_)
      sum += static_cast<double>(
          (worker->transport.upstream_stats().*stat).value());
    gauge->Set(sum);
  }
  first_thread_.timers().ScheduleAfter(kExportInterval,
                                       [this] { ExportStats(); });
}

}  // namespace jujubecove
