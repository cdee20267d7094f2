#pragma once

#include <atomic>
#include <cstdint>

namespace jujubecove {

// A count that one thread writes and any thread may read. With one writer, a
// load and a store suffice, which cost less than an atomic increment.
class StatCounter {
 public:
  void Add(std::int64_t count) {
    value_.store(value_.load(std::memory_order_relaxed) + count,
                 std::memory_order_relaxed);
  }
  std::int64_t value() const { return value_.load(std::memory_order_relaxed); }

 private:
  std::atomic<std::int64_t> value_{0};
};

// Statistics of one upstream thread, exported as metrics.
struct UpstreamStats {
  // Current values.
  StatCounter connections_open;
  StatCounter connections_connecting;
  StatCounter attempts_waiting;
  // Totals since the start.
  StatCounter attempts_sent;
  StatCounter connect_failures;
  StatCounter silent_connections;
  StatCounter bad_replies;
  StatCounter unsolicited;
  StatCounter refused;
  StatCounter no_connection;
  StatCounter timed_out;
  StatCounter cancelled;
  StatCounter pings_sent;
  StatCounter reports_fetched;
  StatCounter maps_fetched;
  StatCounter maps_rejected;
  StatCounter bytes_sent;
  StatCounter bytes_received;
};

}  // namespace jujubecove
