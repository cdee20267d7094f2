#pragma once

#include <memory>
#include <utility>
#include <vector>

#include "daemon/duty_thread.h"
#include "telemetry/metrics.h"
#include "upstream/http_upstream_transport.h"
#include "upstream/partitioned_transport.h"
#include "upstream/report_poller.h"
#include "upstream/upstream_channel.h"

namespace jujubecove {

// Everything that lives on the upstream threads. Each of them has a transport
// of its own for its part of the searchers.
class UpstreamSide {
 public:
  // `capacity` bounds the attempts that are outstanding on one thread.
  UpstreamSide(const std::vector<DutyThread*>& threads,
               boost::asio::io_context& query_context,
               IncarnationId incarnation,
               std::uint64_t seed,
               std::size_t capacity,
               MetricsRegistry& metrics);

  // The query thread's side.
  PartitionedTransport& transport() { return *transport_; }

 private:
  struct Lane {
    Lane(DutyThread& thread,
         boost::asio::io_context& query_context,
         IncarnationId incarnation,
         std::uint64_t seed,
         std::size_t capacity);

    HttpUpstreamTransport transport;
    ReportPoller poller;
    UpstreamChannel channel;
  };

  void Export();

  DutyThread& first_thread_;
  std::vector<std::unique_ptr<Lane>> lanes_;
  std::unique_ptr<PartitionedTransport> transport_;
  std::vector<std::pair<StatCounter UpstreamStats::*, Gauge*>> exported_;
};

}  // namespace jujubecove
