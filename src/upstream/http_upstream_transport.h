#pragma once

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/ids.h"
#include "kernel/timer_service.h"
#include "upstream/searcher_pool.h"
#include "upstream/upstream_options.h"
#include "upstream/upstream_stats.h"
#include "upstream/upstream_transport.h"

namespace jujubecove {

// Transport over HTTP/1.1. Runs on the thread of `context`. `context` and
// `timer` must outlive it.
class HttpUpstreamTransport : public UpstreamTransport, private PoolHost {
 public:
  // Called for every valid reply, with the generation of the searcher's report
  // if the reply states it.
  using ValidReplyHandler =
      std::function<void(const SearcherId&, std::optional<std::uint64_t>)>;
  // Called when a searcher is added (true) or removed (false).
  using SearcherHandler = std::function<void(const SearcherId&, bool)>;

  HttpUpstreamTransport(boost::asio::io_context& context,
                        TimerService& timer,
                        IncarnationId incarnation,
                        std::uint64_t seed,
                        const UpstreamOptions& options = {});
  ~HttpUpstreamTransport() override;

  // Sets this daemon's share of connections to a searcher, which are kept open.
  // Zero removes the searcher once its outstanding attempts have ended. An id
  // that is not "ip:port" is ignored.
  void SetConnectionShare(const SearcherId& searcher, std::size_t count);

  void SetReplyHandler(ReplyHandler handler) override;
  void Send(UpstreamRequest request) override;
  void Cancel(AttemptId attempt) override;
  bool HasCapacityFor(std::size_t count) const override;

  // Sends GET `path` to a searcher. The handler is always called, but not from
  // within this function.
  void Fetch(const SearcherId& searcher,
             std::string path,
             ControlHandler handler);
  void SetValidReplyHandler(ValidReplyHandler handler);
  void SetSearcherHandler(SearcherHandler handler);

  // Any thread may read the counters.
  const UpstreamStats& upstream_stats() const { return stats; }
  // Must be called on the upstream thread.
  UpstreamStats& upstream_stats() { return stats; }
  // Includes connections that are still connecting.
  std::size_t ConnectionCount(const SearcherId& searcher) const;

 private:
  void QueueReply(UpstreamReply reply) override;
  void OnValidReply(const SearcherId& searcher,
                    std::optional<std::uint64_t> generation) override;
  void MarkActive(SearcherPool& pool) override;
  LatencyPeak& KindLatency(const KindName& kind) override;

  void DeliverReplies();
  void ScheduleSweep();
  void Sweep();
  void RemoveInactivePools();

  std::unordered_map<SearcherId, std::unique_ptr<SearcherPool>> pools_;
  // Searchers whose share is zero and whose pools may still be active.
  std::vector<SearcherId> pending_removal_;
  std::vector<SearcherPool*> active_;
  std::unordered_map<AttemptId, SearcherPool*> attempts_;
  std::unordered_map<KindName, LatencyPeak> kind_latencies_;
  std::vector<UpstreamReply> undelivered_;
  std::vector<UpstreamReply> delivering_;
  bool delivery_posted_ = false;
  TimerId sweep_timer_;
  TimePoint sweep_due_{};
  ReplyHandler reply_handler_;
  ValidReplyHandler valid_reply_handler_;
  SearcherHandler searcher_handler_;
  // False after destruction; checked by posted handlers.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace jujubecove
