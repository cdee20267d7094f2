#pragma once

#include <deque>
#include <list>
#include <memory>
#include <string>
#include <unordered_map>

#include "dispatch/attempt_queue.h"
#include "dispatch/searcher_transport.h"
#include "egress/egress_stats.h"
#include "egress/searcher_protocol.h"
#include "http/client_connection.h"
#include "kernel/timer_service.h"

namespace jujubecove {

// The connections to one searcher. Attempts are queued until a connection is
// idle; new connections are opened while attempts are queued, up to the limit.
// An attempt that expires in the queue ends with kNotSent.
class SearcherConnections {
 public:
  SearcherConnections(boost::asio::io_context& context,
                      TimerService& timers,
                      const SearcherProtocol& protocol,
                      ReplyBudget& budget,
                      EgressStats& stats,
                      SearcherEntry searcher);
  ~SearcherConnections();
  SearcherConnections(const SearcherConnections&) = delete;
  SearcherConnections& operator=(const SearcherConnections&) = delete;

  void Send(AttemptId attempt,
            ForwardedRequestPtr request,
            const AttemptOptions& attempt_options,
            SearcherTransport::ReplyHandler done);
  bool Cancel(AttemptId attempt);
  bool IsWritten(AttemptId attempt) const;
  // Whether a connection is open, not busy and not stale.
  bool HasIdle() const;
  void set_connection_limit(int limit) { connection_limit_ = limit; }
  // Ends the queued attempts with kNotSent.
  void ReturnQueued(const std::string& reason);
  // Returns the queued attempts and closes idle connections now, and each busy
  // one once it becomes idle.
  void Retire();
  // Closes connections that have been idle for too long.
  void CloseStale();
  bool empty() const { return connections_.empty() && queued_.empty(); }
  const SearcherEntry& searcher() const { return searcher_; }

 private:
  struct Connection {
    std::shared_ptr<ClientConnection> client;
    // Set while the connection is busy.
    std::optional<QueuedAttempt> attempt;
    TimePoint sent_at{};
    TimePoint idle_since{};
    TimerId connect_timer;
    // Ids of the latest requests on this connection, at most kRememberedIds.
    std::deque<std::string> request_ids;
  };
  using Iterator = std::list<Connection>::iterator;

  void OpenConnection();
  void OnConnectFailed(Iterator it, const std::string& reason);
  void OnIdle(Iterator it);
  void OnFinished(Iterator it, HttpExchange exchange);
  void AssignConnections();
  void ScheduleExpiry();
  void ReturnExpired();
  void Write(Iterator it, QueuedAttempt attempt);
  void Close(Iterator it);
  void CloseIdleBefore(TimePoint cutoff);
  bool IsStale(const Connection& connection) const;
  ReplyUse ClassifyReply(const Connection& connection,
                         const WireReply& reply) const;
  // Whether the attempt may be written to this idle connection.
  bool IsSafeFor(const Connection& connection,
                 const QueuedAttempt& attempt) const;
  // Ends attempts that were not written with kNotSent.
  static void ReturnUnsent(std::vector<QueuedAttempt> attempts,
                           const std::string& reason,
                           bool connect_failed = false);
  AttemptReply Decode(HttpExchange exchange) const;

  boost::asio::io_context& context_;
  TimerService& timers_;
  const SearcherProtocol& protocol_;
  ReplyBudget& budget_;
  EgressStats& stats_;
  SearcherEntry searcher_;
  int connection_limit_ = 1;
  bool retired_ = false;
  int connecting_ = 0;
  std::list<Connection> connections_;
  AttemptQueue queued_;
  // Set while attempts are queued.
  TimerId expiry_timer_;
};

}  // namespace jujubecove
