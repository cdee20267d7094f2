#pragma once

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <variant>

#include "kernel/channel.h"
#include "shard/shard_map.h"
#include "upstream/http_upstream_transport.h"
#include "upstream/report_poller.h"
#include "upstream/upstream_transport.h"

namespace jujubecove {

// Connects the query thread to a transport on the upstream thread, with one
// bounded ring each for commands, replies, and updates (reports and maps). Must
// be destroyed after both threads have stopped.
class UpstreamChannel : public UpstreamTransport {
 public:
  // `capacity` limits both the queued commands and the outstanding attempts, so
  // the reply ring never overflows.
  UpstreamChannel(boost::asio::io_context& query_context,
                  boost::asio::io_context& upstream_context,
                  HttpUpstreamTransport& transport,
                  ReportPoller& poller,
                  std::size_t capacity);

  // The functions below must be called on the query thread.
  void SetReplyHandler(ReplyHandler handler) override;
  // Without capacity the attempt ends as kNoConnection and was not run.
  void Send(UpstreamRequest request) override;
  // Ignored if the ring is full; the attempt then ends without it.
  void Cancel(AttemptId attempt) override;
  bool HasCapacityFor(std::size_t count) const override;

  // Must be set before the first SetConnectionShare().
  void SetReportHandler(std::function<void(const SearcherReport&)> handler);
  void SetMapHandler(
      std::function<void(const ServiceName&, std::shared_ptr<const ShardMap>)>
          handler);

  // Can be called by any thread. Does not use the ring: a dropped change would
  // not be repeated, since shares change rarely.
  void SetConnectionShare(const SearcherId& searcher, std::size_t count);

 private:
  enum class CommandKind : std::uint8_t { kSend, kCancel };

  struct Command {
    CommandKind kind = CommandKind::kSend;
    // Only the attempt id is set for kCancel.
    UpstreamRequest request;
  };

  struct MapUpdate {
    ServiceName service;
    std::shared_ptr<const ShardMap> map;
  };
  using Update = std::variant<std::monostate, SearcherReport, MapUpdate>;

  void ForwardUpdates(ReportPoller& poller);
  void RunCommand(Command command);
  void HandleUpdate(Update update);
  void HandleReply(UpstreamReply reply);

  boost::asio::io_context& query_context_;
  boost::asio::io_context& upstream_context_;
  HttpUpstreamTransport& transport_;
  std::size_t capacity_;
  Channel<Command> commands_;
  Channel<UpstreamReply> replies_;
  // If the ring is full, the poller fetches the report or map again.
  Channel<Update> updates_;
  // Attempts whose reply was not delivered yet; query thread only.
  std::size_t outstanding_ = 0;
  ReplyHandler reply_handler_;
  std::function<void(const SearcherReport&)> report_handler_;
  std::function<void(const ServiceName&, std::shared_ptr<const ShardMap>)>
      map_handler_;
};

}  // namespace jujubecove
