#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "base/ids.h"
#include "discovery/searcher_entry.h"
#include "dispatch/forwarded_request.h"

namespace jujubecove {

// What became of one attempt at a searcher.
enum class AttemptResult : std::uint8_t {
  // A complete successful reply with the searcher's proof.
  kSuccess,
  // A complete reply that reports a failure; the request ran.
  kFailure,
  // The searcher refused the request before running it.
  kRejected,
  // Another searcher has the address; the request did not run.
  kWrongInstance,
  // The request was not written to any connection.
  kNotSent,
  // The connection broke, or the reply was not a proper one. The request may
  // have run.
  kBroken,
};

// The load that a searcher reports with a reply.
struct ReportedLoad {
  int running = 0;
  int waiting = 0;
  int slots = 1;
};

struct AttemptReply {
  AttemptResult outcome = AttemptResult::kBroken;
  int status = 0;
  // The searcher's proof that the reply is its own.
  std::string proof;
  HeaderFields headers;
  std::string body;
  std::optional<ReportedLoad> load;
  // Says what went wrong, for the log.
  std::string failure;
  // How long the attempt waited here before it was written to a connection.
  Duration queue_time{};
};

// Whether an attempt with this outcome certainly did not run.
constexpr bool IsProvenNotRun(AttemptResult outcome) {
  return outcome == AttemptResult::kRejected ||
         outcome == AttemptResult::kWrongInstance ||
         outcome == AttemptResult::kNotSent;
}

// How an attempt is to be sent.
struct AttemptOptions {
  // The searcher is told what is left until then.
  TimePoint deadline;
  // Written until then, the reply is expected in time for the route's target.
  TimePoint target_write_time;
  // Written after that, the reply would be of no use, so nothing is sent.
  TimePoint write_deadline;
  // Whether the request may run again if its connection breaks.
  bool idempotent = true;
};

// Sends attempts to searchers over shared connections.
class SearcherTransport {
 public:
  using ReplyHandler = std::function<void(AttemptReply)>;

  virtual ~SearcherTransport() = default;

  // Calls `done` exactly once unless the attempt is cancelled, and never before
  // it returns. Attempts that wait for a connection are sent in the order of
  // AttemptQueue.
  virtual void Send(AttemptId attempt,
                    const SearcherEntry& searcher,
                    ForwardedRequestPtr request,
                    const AttemptOptions& attempt_options,
                    ReplyHandler done) = 0;
  // Forgets the attempt. If it was sent, its connection is closed, so that the
  // searcher stops working on it. False when it was never written to a
  // connection.
  virtual bool Cancel(AttemptId attempt) = 0;
  // Whether the request was written to a connection.
  virtual bool IsWritten(AttemptId attempt) const = 0;
  // Most connections to this searcher from now on, which is also the most
  // requests that it gets from here at a time.
  virtual void SetConnectionLimit(const SearcherEntry& searcher, int limit) = 0;
  // Closes the idle connections to a searcher that gets nothing new.
  virtual void Retire(const InstanceId& searcher) = 0;
};

}  // namespace jujubecove
