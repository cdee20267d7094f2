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

// What the pools of one transport share.
class PoolHost {
 public:
  virtual ~PoolHost() = default;
  // Never calls the reply handler from within.
  virtual void QueueReply(UpstreamReply reply) = 0;
  // A valid reply of any kind came from the searcher.
  virtual void OnReplyFrom(const SearcherId& searcher,
                           std::optional<std::uint64_t> generation) = 0;
  // Sweep() is called on the pool until it is no longer active.
  virtual void MarkActive(SearcherPool& pool) = 0;
  virtual LatencyPeak& KindLatency(const KindName& kind) = 0;

  boost::asio::io_context& context;
  TimerService& timer;
  RandomEngine random;
  UpstreamOptions options;
  IncarnationId incarnation;
  UpstreamStats stats;
  // Reused for the head of every request.
  std::string head;
  // When the last whole reply arrived from any searcher.
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

// The connections to one searcher, filled ahead of demand up to this daemon's
// share, and the attempts that wait for one of them.
class SearcherPool : private Connection::Owner {
 public:
  SearcherPool(PoolHost& host,
               SearcherId searcher,
               const boost::asio::ip::tcp::endpoint& endpoint);
  ~SearcherPool() override;

  // Bounds the connections, including those being set up. Surplus ones are
  // closed as they become idle.
  void SetShare(std::size_t share);
  void Send(UpstreamRequest request);
  void Cancel(AttemptId attempt);
  // Sends GET `path`. The handler is always called, never from within.
  void Fetch(std::string path, ControlHandler handler);
  // Ends what is past its time and judges silence. `lost` is the time since the
  // last sweep in which the thread did not run.
  void Sweep(TimePoint now, Duration thread_stall);

  // Whether something is outstanding that a sweep may have to end.
  bool active() const {
    return !waiting_.empty() || !waiting_fetches_.empty() ||
           idle_.size() != connections_.size();
  }
  // Whether the pool is to be removed once it is no longer active.
  bool removal_pending() const { return share_ == 0; }
  std::size_t connection_count() const { return connections_.size(); }

  // Kept by the host.
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

  // Sending. Each Start* and Write* function is false when not one byte could
  // be written; the caller then discards the connection.
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
  // Writes the attempt for which the connection was checked.
  void StartCheckedAttempt(Connection& connection, bool keep);
  bool HandleAttemptReply(Connection& connection, ParsedReply& reply);
  void ObserveLatency(Connection& connection, const ParsedReply& reply);
  // Ends a request that was not written.
  void FinishUnsent(const UpstreamRequest& request, AttemptOutcome outcome);
  // Ends the attempt on a connection after its first byte was written.
  void FinishSent(Connection& connection, AttemptOutcome outcome);
  void OnBadReply(Connection& connection);

  // Silence, in searcher_pool_silence.cc.
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
  // The most recently used is last and is used first.
  std::vector<Connection*> idle_;
  std::deque<UpstreamRequest> waiting_;
  std::deque<WaitingFetch> waiting_fetches_;

  std::size_t connecting_ = 0;
  // Consecutive failures to set up a connection that serves a reply.
  unsigned consecutive_failures_ = 0;
  TimePoint reconnect_at_{};
  TimerId reconnect_timer_;

  // Latency of replies from this searcher alone.
  LatencyPeak latency_;
  // When the last whole reply arrived on any connection.
  TimePoint last_reply_at_ = TimePoint::min();
  std::optional<TimePoint> last_silence_;
};

}  // namespace jujubecove
