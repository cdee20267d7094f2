#pragma once

#include <memory>
#include <utility>
#include <vector>

#include "daemon/event_loop_thread.h"
#include "telemetry/metrics.h"
#include "upstream/http_upstream_transport.h"
#include "upstream/partitioned_transport.h"
#include "upstream/report_poller.h"
#include "upstream/upstream_channel.h"

namespace jujubecove {

// The services of the upstream threads. Each thread has its own transport for
// its part of the searchers.
class UpstreamPool {
 public:
  // `capacity` limits the attempts in flight on each thread.
  UpstreamPool(const std::vector<EventLoopThread*>& threads,
               boost::asio::io_context& query_context,
               IncarnationId incarnation,
               std::uint64_t seed,
               std::size_t capacity,
               MetricsRegistry& metrics);

  // Used on the query thread.
  PartitionedTransport& transport() { return *transport_; }

 private:
  struct Worker {
    Worker(EventLoopThread& thread,
           boost::asio::io_context& query_context,
           IncarnationId incarnation,
           std::uint64_t seed,
           std::size_t capacity);

    HttpUpstreamTransport transport;
    ReportPoller poller;
    UpstreamChannel channel;
  };

  void ExportStats();

  EventLoopThread& first_thread_;
  std::vector<std::unique_ptr<Worker>> workers_;
  std::unique_ptr<PartitionedTransport> transport_;
  std::vector<std::pair<StatCounter UpstreamStats::*, Gauge*>> exported_gauges_;
};

}  // namespace jujubecove
