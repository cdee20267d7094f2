#pragma once

#include <utility>
#include <vector>

#include "daemon/duty_thread.h"
#include "telemetry/metrics.h"
#include "upstream/http_upstream_transport.h"
#include "upstream/report_poller.h"
#include "upstream/upstream_channel.h"

namespace jujubecove {

// Everything that lives on the upstream thread.
class UpstreamSide {
 public:
  // `capacity` bounds the attempts that are outstanding.
  UpstreamSide(DutyThread& thread,
               boost::asio::io_context& query_context,
               IncarnationId incarnation,
               std::uint64_t seed,
               std::size_t capacity,
               MetricsRegistry& metrics);

  // The query thread's side.
  UpstreamChannel& channel() { return channel_; }

 private:
  void Export();

  DutyThread& thread_;
  HttpUpstreamTransport transport_;
  ReportPoller poller_;
  UpstreamChannel channel_;
  std::vector<std::pair<const StatCounter*, Gauge*>> exported_;
};

}  // namespace jujubecove
