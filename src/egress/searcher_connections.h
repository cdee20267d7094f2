#pragma once

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

// The connections to one searcher. Attempts wait until a connection is idle;
// connections are opened when attempts wait and the limit allows it. An attempt
// whose reply would come too late is given back unsent.
class SearcherConnections {
 public:
  SearcherConnections(boost::asio::io_context& context,
                      TimerService& timers,
                      const SearcherProtocol& protocol,
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
  void set_limit(int limit) { limit_ = limit; }
  // Closes what is idle, and every connection once it is.
  void Retire();
  // Closes connections that were idle for too long.
  void CloseExpired();
  bool empty() const { return connections_.empty() && waiting_.empty(); }
  const SearcherEntry& searcher() const { return searcher_; }

 private:
  struct Connection {
    std::shared_ptr<ClientConnection> client;
    // Set while it is busy.
    std::optional<QueuedAttempt> attempt;
    TimePoint sent_at{};
    TimePoint idle_since{};
    TimerId connect_timer;
  };
  using Iterator = std::list<Connection>::iterator;

  void Open();
  void OnConnectFailed(Iterator it, const std::string& reason);
  void OnIdle(Iterator it);
  void OnFinished(Iterator it, HttpExchange exchange);
  void Assign();
  void ScheduleDrop();
  void DropUseless();
  void Write(Iterator it, QueuedAttempt attempt);
  void Close(Iterator it);
  void CloseIdleSince(TimePoint before);
  bool IsExpired(const Connection& connection) const;
  // Whether the attempt may be written to this idle connection.
  bool IsTrusted(const Connection& connection,
                 const QueuedAttempt& attempt) const;
  // Gives attempts back that were not written.
  static void ReturnUnsent(std::vector<QueuedAttempt> attempts,
                           const std::string& reason);
  AttemptReply Decode(HttpExchange exchange) const;

  boost::asio::io_context& context_;
  TimerService& timers_;
  const SearcherProtocol& protocol_;
  EgressStats& stats_;
  SearcherEntry searcher_;
  int limit_ = 1;
  bool retired_ = false;
  int connecting_ = 0;
  std::list<Connection> connections_;
  AttemptQueue waiting_;
  // Set while attempts wait.
  TimerId drop_timer_;
};

}  // namespace jujubecove
