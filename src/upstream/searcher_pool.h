#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/random.h"
#include "kernel/timer_service.h"
#include "upstream/connection.h"
#include "upstream/latency_peak.h"
#include "upstream/upstream_options.h"
#include "upstream/upstream_stats.h"
#include "upstream/upstream_transport.h"

namespace jujubecove {

class SearcherPool;

// State and callbacks that the pools of one transport share.
class PoolHost {
 public:
  virtual ~PoolHost() = default;
  // Does not call the reply handler from within.
  virtual void QueueReply(UpstreamReply reply) = 0;
  // Called for every valid reply, including those to pings and fetches.
  virtual void OnValidReply(const SearcherId& searcher,
                            std::optional<std::uint64_t> generation) = 0;
  // Makes the host call Sweep() on the pool until it is no longer active.
  virtual void MarkActive(SearcherPool& pool) = 0;
  virtual LatencyPeak& KindLatency(const KindName& kind) = 0;

  boost::asio::io_context& context;
  TimerService& timer;
  RandomEngine random;
  UpstreamOptions options;
  IncarnationId incarnation;
  UpstreamStats stats;
  // Buffer for the head of a request.
  std::string head;
  // When the last complete reply arrived from any searcher.
  TimePoint last_reply_at = TimePoint::min();

 protected:
  PoolHost(boost::asio::io_context& io_context,
           TimerService& timer_service,
           std::uint64_t seed,
           IncarnationId incarnation_id,
           const UpstreamOptions& upstream_options)
      : context(io_context),
        timer(timer_service),
        random(seed),
        options(upstream_options),
        incarnation(incarnation_id) {}
};

// The connections to one searcher, and the attempts that wait for one of them.
// Connections are opened ahead of demand, up to this daemon's share.
class SearcherPool : private Connection::Owner {
 public:
  SearcherPool(PoolHost& host,
               SearcherId searcher,
               const boost::asio::ip::tcp::endpoint& endpoint);
  ~SearcherPool() override;

  // Sets the number of connections to keep, including those still connecting.
  // Surplus ones are closed when they become idle.
  void SetShare(std::size_t share);
  void Send(UpstreamRequest request);
  void Cancel(AttemptId attempt);
  // Sends GET `path`. The handler is always called, but not from within this
  // function.
  void Fetch(std::string path, ControlHandler handler);
  // Ends what has expired or is silent. `thread_stall` is the time since the
  // last sweep in which the thread was stalled.
  void Sweep(TimePoint now, Duration thread_stall);

  // Whether anything is outstanding that a sweep may have to end.
  bool active() const {
    return !waiting_.empty() || !waiting_fetches_.empty() ||
           idle_.size() != connections_.size();
  }
  // Whether the pool will be removed once it is no longer active.
  bool removal_pending() const { return share_ == 0; }
  std::size_t connection_count() const { return connections_.size(); }

  // Set by the host.
  bool in_active_list = false;

 private:
  struct WaitingFetch {
    std::string path;
    ControlHandler handler;
    TimePoint expires_at;
  };

  void OnConnected(Connection& connection) override;
  void OnConnectFailed(Connection& connection) override;
  void OnReply(Connection& connection, ParsedReply& reply) override;
  void OnLost(Connection& connection, LossCause cause) override;

  // Sending. The Start* and Write* functions return false if no byte could be
  // written; the caller then discards the connection.
  bool StartAttemptOnIdle(UpstreamRequest& request);
  bool StartAttempt(Connection& connection, UpstreamRequest& request);
  bool WriteAttempt(Connection& connection, UpstreamRequest& request);
  bool StartPing(Connection& connection, ConnectionActivity activity);
  bool StartFetch(Connection& connection, WaitingFetch& fetch);
  void SendCancel(const std::string& attempt);
  void Enqueue(UpstreamRequest request);
  void Requeue(UpstreamRequest request);

  // Connections.
  void OpenConnections();
  void StartConnect();
  void BackOff();
  void Release(Connection& connection);
  bool StartNextWaiting(Connection& connection);
  Connection* PopIdle();
  void Discard(Connection& connection);
  void FailWaiting(AttemptOutcome outcome);
  bool HasEstablished() const;

  // Replies.
  bool Matches(const Connection& connection, const ParsedReply& reply) const;
  // Writes the attempt that waited for the ping.
  void StartAttemptAfterPing(Connection& connection, bool keep);
  bool HandleAttemptReply(Connection& connection, ParsedReply& reply);
  void ObserveLatency(Connection& connection, const ParsedReply& reply);
  // Ends an attempt of which no byte was written.
  void FinishUnsent(const UpstreamRequest& request, AttemptOutcome outcome);
  // Ends the attempt on a connection after a byte of it was written.
  void FinishSent(Connection& connection, AttemptOutcome outcome);
  void OnBadReply(Connection& connection);

  // Timeouts and silence, in searcher_pool_silence.cc.
  void SweepWaiting(TimePoint now);
  void SweepConnection(Connection& connection, TimePoint now);
  void SweepAttempt(Connection& connection, TimePoint now);
  bool IsSilent(const Connection& connection, TimePoint now) const;
  bool IsUntestedReplacement(const Connection& connection) const;
  void TimeOutAttempt(Connection& connection, TimePoint now);
  void AwaitLateReply(Connection& connection, TimePoint now);
  void ReplaceSilent(Connection& connection, TimePoint now);
  void HandlePingTimeout(Connection& connection, TimePoint now);
  void StartProbe(TimePoint since);
  void PingIdleConnections(TimePoint before);
  void SetSilenceTimeouts(Connection& connection);
  Duration PingTimeout() const;

  PoolHost& host_;
  SearcherId searcher_;
  boost::asio::ip::tcp::endpoint endpoint_;
  std::size_t share_ = 0;
  std::vector<std::shared_ptr<Connection>> connections_;
  // A stack: the most recently used connection is last and is taken first.
  std::vector<Connection*> idle_;
  std::deque<UpstreamRequest> waiting_;
  std::deque<WaitingFetch> waiting_fetches_;

  std::size_t connecting_ = 0;
  // Failed connections since the last valid reply.
  unsigned consecutive_failures_ = 0;
  TimePoint reconnect_at_{};
  TimerId reconnect_timer_;

  // Latency of this searcher, over all kinds.
  LatencyPeak latency_;
  // When the last complete reply arrived on any connection.
  TimePoint last_reply_at_ = TimePoint::min();
  std::optional<TimePoint> last_silence_;
};

}  // namespace jujubecove
