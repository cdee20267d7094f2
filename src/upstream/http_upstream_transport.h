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

// The transport over HTTP/1.1. Everything runs on the thread of `context`,
// whose time `timer` keeps; both must outlive it.
class HttpUpstreamTransport : public UpstreamTransport, private PoolHost {
 public:
  // Told of every valid reply, with the generation of the searcher's report
  // when the reply stated one.
  using ContactHandler =
      std::function<void(const SearcherId&, std::optional<std::uint64_t>)>;
  // Told when a searcher is added (true) or removed.
  using SearcherHandler = std::function<void(const SearcherId&, bool)>;

  HttpUpstreamTransport(boost::asio::io_context& context,
                        TimerService& timer,
                        IncarnationId incarnation,
                        std::uint64_t seed,
                        const UpstreamOptions& options = {});
  ~HttpUpstreamTransport() override;

  // Target number of connections to a searcher. Zero removes it once its
  // outstanding attempts have ended. An id that is not "ip:port" is ignored.
  void SetConnectionShare(const SearcherId& searcher, std::size_t count);

  void SetReplyHandler(ReplyHandler handler) override;
  void Send(UpstreamRequest request) override;
  void Cancel(AttemptId attempt) override;
  bool HasCapacityFor(std::size_t count) const override;

  // Sends GET `path` to a searcher. The handler is always called, never from
  // within.
  void Fetch(const SearcherId& searcher,
             std::string path,
             ControlHandler handler);
  void SetContactHandler(ContactHandler handler);
  void SetSearcherHandler(SearcherHandler handler);

  // Can be read by any thread.
  const UpstreamStats& upstream_stats() const { return stats; }
  // For the parts of the subsystem that run on the upstream thread.
  UpstreamStats& upstream_stats() { return stats; }
  // Connections to one searcher, including those being set up.
  std::size_t ConnectionCount(const SearcherId& searcher) const;

 private:
  void QueueReply(UpstreamReply reply) override;
  void OnReplyFrom(const SearcherId& searcher,
                   std::optional<std::uint64_t> generation) override;
  void MarkActive(SearcherPool& pool) override;
  LatencyPeak& KindLatency(const KindName& kind) override;

  void DeliverReplies();
  void ScheduleSweep();
  void Sweep();
  void RemoveInactivePools();

  std::unordered_map<SearcherId, std::unique_ptr<SearcherPool>> pools_;
  // Pools whose share is zero and that may still have work to end.
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
  ContactHandler contact_handler_;
  SearcherHandler searcher_handler_;
  // Lets posted handlers notice that the transport is gone.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace jujubecove
