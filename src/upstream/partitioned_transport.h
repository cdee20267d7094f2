#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <vector>

#include "upstream/upstream_channel.h"

namespace jujubecove {

// The query thread's side of several upstream threads. Each searcher belongs to
// one of them by its hash, so the replies to a fan-out are read in parallel.
class PartitionedTransport : public UpstreamTransport {
 public:
  // The channels must outlive the transport; there is at least one.
  explicit PartitionedTransport(std::vector<UpstreamChannel*> channels);

  void SetReplyHandler(ReplyHandler handler) override;
  void Send(UpstreamRequest request) override;
  // Goes to every channel: a cancellation is rare, and only the channel that
  // knows the attempt acts on it.
  void Cancel(AttemptId attempt) override;
  // Whether one channel could take all of them.
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
