#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <vector>

#include "upstream/upstream_channel.h"

namespace jujubecove {

// Transport over several upstream threads, for the query thread. Searchers are
// assigned to the threads by hash, so that the replies to a fan-out are read in
// parallel.
class PartitionedTransport : public UpstreamTransport {
 public:
  // `channels` must not be empty. The channels must outlive the transport.
  explicit PartitionedTransport(std::vector<UpstreamChannel*> channels);

  void SetReplyHandler(ReplyHandler handler) override;
  void Send(UpstreamRequest request) override;
  // Sent to every channel, since cancellations are rare. Channels without the
  // attempt ignore it.
  void Cancel(AttemptId attempt) override;
  // Whether every channel could accept all of the attempts.
  bool HasCapacityFor(std::size_t count) const override;

  void SetReportHandler(
      const std::function<void(const SearcherReport&)>& handler);
  void SetMapHandler(
      const std::function<void(const ServiceName&,
                               std::shared_ptr<const ShardMap>)>& handler);
  // Can be called by any thread.
  void SetConnectionShare(const SearcherId& searcher, std::size_t count);

 private:
  UpstreamChannel& ChannelOf(const SearcherId& searcher) const;

  std::vector<UpstreamChannel*> channels_;
};

}  // namespace jujubecove
