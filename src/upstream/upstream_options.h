#pragma once

#include <chrono>
#include <cstddef>

#include "base/units.h"

namespace jujubecove {

// Options of the HTTP transport to the searchers.
struct UpstreamOptions {
  Duration connect_timeout = std::chrono::seconds(1);
  // Attempts that may wait for a connection to one searcher.
  std::size_t max_waiting_attempts = 64;
  // Fetches of reports and maps that may wait for a connection to one searcher.
  std::size_t max_waiting_fetches = 8;
  // Connections to one searcher that may be connecting at the same time.
  std::size_t max_connecting = 4;
  // Exponential backoff after failed connects, doubling from the initial value
  // to the maximum. Each delay is random between half of the value and all of
  // it.
  Duration initial_backoff = std::chrono::milliseconds(50);
  Duration max_backoff = std::chrono::seconds(2);
  // A connection that was idle for longer is pinged before a non-idempotent
  // request is written to it.
  Duration max_idle_before_ping = std::chrono::seconds(1);
  // Short silence timeouts and ping timeouts are the peak latency times this.
  int silence_factor = 4;
  // Keeps short stalls of a searcher from counting as silence. With 20 ms, 494
  // of 96,833 attempts on an overloaded host were ended without cause.
  Duration min_silence_timeout = std::chrono::milliseconds(50);
  Duration min_ping_timeout = std::chrono::milliseconds(50);
  Duration max_ping_timeout = std::chrono::milliseconds(250);
  // Limits on how long a connection waits for the late reply to a cancelled or
  // timed out request, which is then discarded.
  Duration min_late_reply_timeout = std::chrono::milliseconds(100);
  Duration max_late_reply_timeout = std::chrono::seconds(1);
  Duration fetch_timeout = std::chrono::seconds(1);
  // How often deadlines and silence are checked while anything is outstanding.
  Duration sweep_interval = std::chrono::milliseconds(2);
  // If a sweep is later than this, the thread was stalled. The stall does not
  // count as silence.
  Duration min_thread_stall = std::chrono::milliseconds(5);
  // Outstanding attempts at all searchers.
  std::size_t max_outstanding = 65'536;
};

}  // namespace jujubecove
