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

// The query thread's side of a transport that runs on the upstream thread.
// Commands, replies, and reports with maps cross by one bounded ring each. It
// must be destroyed after both threads have stopped.
class UpstreamChannel : public UpstreamTransport {
 public:
  // `capacity` bounds the commands on their way and, separately, the attempts
  // that are outstanding; the reply ring therefore never overflows.
  UpstreamChannel(boost::asio::io_context& query_context,
                  boost::asio::io_context& upstream_context,
                  HttpUpstreamTransport& transport,
                  ReportPoller& poller,
                  std::size_t capacity);

  // The functions below are called by the query thread only.
  void SetReplyHandler(ReplyHandler handler) override;
  // Without room the attempt ends as kNoConnection, not run.
  void Send(UpstreamRequest request) override;
  // Dropped when the ring is full; the attempt then ends on its own.
  void Cancel(AttemptId attempt) override;
  bool HasCapacityFor(std::size_t count) const override;

  // Must be set before the first share.
  void SetReportHandler(std::function<void(const SearcherReport&)> handler);
  void SetMapHandler(
      std::function<void(const ServiceName&, std::shared_ptr<const ShardMap>)>
          handler);

  // Passed to the upstream thread outside of the ring, since a lost share would
  // stay wrong and shares change rarely. Can be called by any thread.
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
  // A full ring makes the poller fetch the report or map again.
  Channel<Update> updates_;
  // Attempts whose reply has not been handed over; query thread only.
  std::size_t outstanding_ = 0;
  ReplyHandler reply_handler_;
  std::function<void(const SearcherReport&)> report_handler_;
  std::function<void(const ServiceName&, std::shared_ptr<const ShardMap>)>
      map_handler_;
};

}  // namespace jujubecove
