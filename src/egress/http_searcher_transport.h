#pragma once

#include <memory>
#include <unordered_map>
#include <vector>

#include "egress/searcher_connections.h"

namespace jujubecove {

// Sends attempts to searchers over HTTP/1.1.
class HttpSearcherTransport : public SearcherTransport {
 public:
  HttpSearcherTransport(boost::asio::io_context& context,
                        TimerService& timers,
                        const SearcherProtocol& protocol,
                        std::size_t max_reply_memory);

  void Send(AttemptId attempt,
            const SearcherEntry& searcher,
            ForwardedRequestPtr request,
            const AttemptOptions& attempt_options,
            ReplyHandler done) override;
  bool Cancel(AttemptId attempt) override;
  bool IsWritten(AttemptId attempt) const override;
  bool HasIdleConnection(const InstanceId& searcher) const override;
  void Probe(const SearcherEntry& searcher,
             std::function<void(bool)> done) override;
  void SetConnectionLimit(const SearcherEntry& searcher, int limit) override;
  void ReturnQueued(const InstanceId& searcher,
                    const std::string& reason) override;
  void Retire(const InstanceId& searcher) override;

  const EgressStats& stats() const { return stats_; }
  // Bytes of large replies that are being received.
  std::size_t buffered_reply_bytes() const { return budget_.used(); }

 private:
  using ConnectionsPtr = std::shared_ptr<SearcherConnections>;

  ConnectionsPtr ConnectionsOf(const SearcherEntry& searcher);
  void CloseStale();

  boost::asio::io_context& context_;
  TimerService& timers_;
  const SearcherProtocol& protocol_;
  ReplyBudget budget_;
  EgressStats stats_;
  std::unordered_map<InstanceId, ConnectionsPtr> searchers_;
  // Retired searchers that still have attempts in flight.
  std::vector<ConnectionsPtr> retired_;
  // The connections that carry or queue each attempt in progress.
  std::unordered_map<AttemptId, ConnectionsPtr> attempts_;
};

}  // namespace jujubecove
