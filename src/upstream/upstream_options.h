#pragma once

#include <chrono>
#include <cstddef>

#include "base/units.h"

namespace jujubecove {

// Tuning of the HTTP transport to the searchers.
struct UpstreamOptions {
  Duration connect_timeout = std::chrono::seconds(1);
  // Attempts that may wait for a connection of one searcher.
  std::size_t max_waiting_attempts = 64;
  // Reports and maps that may wait for a connection of one searcher.
  std::size_t max_waiting_fetches = 8;
  // Bounds the connections of one searcher that are set up at the same time.
  std::size_t max_connecting = 4;
  // Delay after the first failed set-up; it doubles up to the maximum. Each
  // delay is drawn between half and the whole of the value.
  Duration initial_backoff = std::chrono::milliseconds(50);
  Duration max_backoff = std::chrono::seconds(2);
  // A connection that was idle for longer is checked before it carries a
  // non-idempotent request.
  Duration max_idle_unchecked = std::chrono::seconds(1);
  // An attempt counts as silent after this many peak latencies of its kind
  // without a byte.
  int silence_factor = 4;
  // Keeps a searcher's short stalls from looking like silence. With 20 ms, 494
  // of 96,833 attempts on an overloaded host were cut without cause.
  Duration min_silence_timeout = std::chrono::milliseconds(50);
  // Bounds of the time for an answer to a ping.
  Duration min_ping_timeout = std::chrono::milliseconds(50);
  Duration max_ping_timeout = std::chrono::milliseconds(250);
  // Bounds of the time for the late reply of an attempt that was given up.
  Duration min_late_reply_timeout = std::chrono::milliseconds(100);
  Duration max_late_reply_timeout = std::chrono::seconds(1);
  Duration fetch_timeout = std::chrono::seconds(1);
  // Deadlines and silence are judged at this interval while anything is
  // outstanding.
  Duration sweep_interval = std::chrono::milliseconds(2);
  // A sweep that is later than this shows that the thread did not run. The time
  // lost is not counted as silence.
  Duration min_thread_stall = std::chrono::milliseconds(5);
  // Attempts of all searchers that may be outstanding.
  std::size_t max_outstanding = 65'536;
};

}  // namespace jujubecove
