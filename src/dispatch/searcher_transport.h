#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "base/ids.h"
#include "discovery/searcher_entry.h"
#include "dispatch/forwarded_request.h"

namespace jujubecove {

// How one attempt at a searcher ended.
enum class AttemptResult : std::uint8_t {
  // A complete, successful reply with the searcher's proof.
  kSuccess,
  // A complete reply that reports a failure; the request ran.
  kFailure,
  // The searcher refused the request before running it.
  kRejected,
  // Another searcher has the address; the request did not run.
  kWrongInstance,
  // The request was not written to any connection.
  kNotSent,
  // The connection broke or the reply was malformed. The request may have run.
  kBroken,
};

// The load that a searcher reports with a reply.
struct ReportedLoad {
  int running = 0;
  int waiting = 0;
  int slots = 1;
  // How long work takes at this moment, relative to the usual.
  double slowdown = 1.0;
};

struct AttemptReply {
  AttemptResult outcome = AttemptResult::kBroken;
  int status = 0;
  // The searcher's proof that the reply is its own.
  std::string proof;
  HeaderFields headers;
  std::string body;
  std::optional<ReportedLoad> load;
  // The searcher is about to leave and wants no new requests.
  bool leaving = false;
  // Set if the searcher refused for lack of room: how long it wants no request
  // from this VM.
  std::optional<Duration> retry_after;
  // Reason of a failure, for the log.
  std::string failure;
  // Time that the attempt waited for a connection.
  Duration queue_time{};
  // Set if the attempt was not sent because no connection could be opened.
  bool connect_failed = false;
  // Whether it was the first request on its connection.
  bool on_new_connection = false;
};

// Whether an attempt with this outcome is certain not to have run.
constexpr bool IsKnownNotRun(AttemptResult outcome) {
  return outcome == AttemptResult::kRejected ||
         outcome == AttemptResult::kWrongInstance ||
         outcome == AttemptResult::kNotSent;
}

struct AttemptOptions {
  // Sent to the searcher as remaining time.
  TimePoint deadline;
  // If written by then, the reply is expected to meet the route's target.
  TimePoint target_write_time;
  // The attempt expires unsent if it is not written by then, since its reply
  // would come too late.
  TimePoint write_deadline;
  // Whether the request may run more than once.
  bool idempotent = true;
  // 0 is the most urgent.
  int urgency = 0;
};

// Sends attempts to searchers over shared connections.
class SearcherTransport {
 public:
  using ReplyHandler = std::function<void(AttemptReply)>;

  virtual ~SearcherTransport() = default;

  // Calls `done` exactly once, after Send has returned, unless the attempt is
  // cancelled. Attempts that wait for a connection are sent in the order of
  // AttemptQueue.
  virtual void Send(AttemptId attempt,
                    const SearcherEntry& searcher,
                    ForwardedRequestPtr request,
                    const AttemptOptions& attempt_options,
                    ReplyHandler done) = 0;
  // Cancels the attempt. If it was written, its connection is closed so that
  // the searcher stops working on it. Returns whether it was written.
  virtual bool Cancel(AttemptId attempt) = 0;
  // Whether the request was written to a connection.
  virtual bool IsWritten(AttemptId attempt) const = 0;
  // Whether an attempt at this searcher could be written now to a connection
  // that is open already.
  virtual bool HasIdleConnection(const InstanceId& searcher) const = 0;
  // Tries to open a connection to the searcher and closes it again. Calls
  // `done` once, after Probe has returned, with whether it was opened.
  virtual void Probe(const SearcherEntry& searcher,
                     std::function<void(bool)> done) = 0;
  // Limits the connections to this searcher and thus the requests that it gets
  // from here concurrently.
  virtual void SetConnectionLimit(const SearcherEntry& searcher, int limit) = 0;
  // Ends the attempts that wait for a connection to this searcher with
  // kNotSent.
  virtual void ReturnQueued(const InstanceId& searcher,
                            const std::string& reason) = 0;
  // Closes the idle connections to a searcher that gets no new attempts, and
  // returns those that wait. Attempts in flight go on.
  virtual void Retire(const InstanceId& searcher) = 0;
};

}  // namespace jujubecove
