#include "upstream/partitioned_transport.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "base/hash.h"

namespace jujubecove {

PartitionedTransport::PartitionedTransport(
    std::vector<UpstreamChannel*> channels)
    : channels_(std::move(channels)) {
  assert(!channels_.empty());
}

UpstreamChannel& PartitionedTransport::ChannelOf(
    const SearcherId& searcher) const {
  return *channels_[Hash64(searcher.value()) % channels_.size()];
}

void PartitionedTransport::SetReplyHandler(ReplyHandler handler) {
  for (UpstreamChannel* it : channels_)
    it->SetReplyHandler(handler);
}

void PartitionedTransport::Send(UpstreamRequest request) {
  UpstreamChannel& channel = ChannelOf(request.searcher);
  channel.Send(std::move(request));
}

void PartitionedTransport::Cancel(AttemptId attempt) {
  for (UpstreamChannel* it : channels_)
    it->Cancel(attempt);
}

bool PartitionedTransport::HasCapacityFor(std::size_t count) const {
  return std::all_of(
      channels_.begin(), channels_.end(),
      [count](const UpstreamChannel* it) { return it->HasCapacityFor(count); });
}

void PartitionedTransport::SetReportHandler(
    const std::function<void(const SearcherReport&)>& handler) {
  for (UpstreamChannel* it : channels_)
    it->SetReportHandler(handler);
}

void PartitionedTransport::SetMapHandler(
    const std::function<void(const ServiceName&,
                             std::shared_ptr<const ShardMap>)>& handler) {
  for (UpstreamChannel* it : channels_)
    it->SetMapHandler(handler);
}

void PartitionedTransport::SetConnectionShare(const SearcherId& searcher,
                                              std::size_t count) {
  ChannelOf(searcher).SetConnectionShare(searcher, count);
}

}  // namespace jujubecove
